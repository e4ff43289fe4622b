package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
)

type fakeTables struct {
	port.TableView
	index *routes.Index
}

func (f fakeTables) Routes() *routes.Index { return f.index }

// TestTableInForceIsAnswered guards against a check that compares a table with an empty one because
// the daemon knows none.
func TestTableInForceIsAnswered(t *testing.T) {
	answer := func(index *routes.Index) (string, error) {
		w := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", http.NoBody), w)
		err := (&Service{tables: fakeTables{index: index}}).getTable(c)
		return w.Body.String(), err
	}
	_, err := answer(nil)
	require.Equal(t, fault.NotFound, fault.From(err).Kind)
	body, err := answer(routes.NewIndex(&routes.Table{Version: 4}))
	require.NoError(t, err)
	require.Contains(t, body, `"version":4`)
}
