package brokerwire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/port"
)

// TestSoftwareVersionIsSent guards against entries and a broker that do not know the software
// version of an upstream.
func TestSoftwareVersionIsSent(t *testing.T) {
	e := port.RosterEntry{Entry: roster.Entry{ID: "a", SoftwareVersion: "v1.2"}}
	decoded, _ := DecodeUpstream(EncodeUpstream(e, broker.Estimates{}))
	require.Equal(t, "v1.2", decoded.SoftwareVersion)
	require.Equal(t, "v1.2", Upstreams([]port.RosterEntry{decoded}, nil)[0].SoftwareVersion)
	require.Equal(t, "v1.2", DecodeGrant("entry", EncodeGrant(broker.Grant{SoftwareVersion: "v1.2"})).SoftwareVersion)
}
