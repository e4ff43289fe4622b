package member

import (
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/member"
	"github.com/verbenastep/verbenastep/internal/port"
)

// loadScale is the number of units in a daemon's capacity as sent on the wire.
const loadScale = 1000

// EncodeRequest converts a request of the named sender to its RPC message.
func EncodeRequest(self string, r member.Request) *rpc.ProbeRequest {
	return &rpc.ProbeRequest{From: self, Target: r.Target, Join: r.Join, After: r.After, Updates: encodeStates(r.Updates)}
}

func decodeRequest(r *rpc.ProbeRequest) member.Request {
	return member.Request{Target: r.Target, Join: r.Join, After: r.After, Updates: decodeStates(r.Updates)}
}

// EncodeReply converts a reply to its RPC message.
func EncodeReply(r member.Reply) *rpc.ProbeReply {
	return &rpc.ProbeReply{Alive: r.TargetAlive, Next: r.Next, Updates: encodeStates(r.Updates)}
}

func decodeReply(r *rpc.ProbeReply) member.Reply {
	return member.Reply{TargetAlive: r.Alive, Next: r.Next, Updates: decodeStates(r.Updates)}
}

func encodeStates(states []member.State) []*rpc.MemberState {
	out := make([]*rpc.MemberState, 0, len(states))
	for _, s := range states {
		i := s.Info
		out = append(out, &rpc.MemberState{
			Name: s.Name, Incarnation: s.Incarnation, Beat: s.InfoVersion, Status: uint32(s.Status),
			Region: i.Region, DataCentre: i.DataCentre, PeerAddress: i.PeerAddress, CallerAddress: i.CallerAddress, UpstreamAddress: i.UpstreamAddress,
			ConfigVersion: i.ConfigVersion, LoadPermille: i.LoadPermille, Replica: i.HasReplica, Leaving: i.IsLeaving,
		})
	}
	return out
}

// decodeStates skips states without a name or with an unknown status.
func decodeStates(states []*rpc.MemberState) []member.State {
	out := make([]member.State, 0, len(states))
	for _, s := range states {
		if s.Name == "" || s.Status > uint32(member.Left) {
			continue
		}
		out = append(out, member.State{
			Name: s.Name, Incarnation: s.Incarnation, InfoVersion: s.Beat, Status: member.Status(s.Status),
			Info: member.Info{
				Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, UpstreamAddress: s.UpstreamAddress,
				ConfigVersion: s.ConfigVersion, LoadPermille: s.LoadPermille, HasReplica: s.Replica, IsLeaving: s.Leaving,
			},
		})
	}
	return out
}

// elapsedSince returns the time since start by the monotonic clock.
func elapsedSince(start time.Time) time.Duration { return time.Since(start) }

func toPortMember(s member.State) port.Member {
	i := s.Info
	return port.Member{
		Name: s.Name, Region: i.Region, DataCentre: i.DataCentre, Peers: i.PeerAddress, Callers: i.CallerAddress, Upstreams: i.UpstreamAddress,
		Version: i.ConfigVersion, Load: float64(i.LoadPermille) / loadScale, Replica: i.HasReplica, Leaving: i.IsLeaving,
	}
}
