package admin

import (
	"bytes"
	"net/http"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

func (s *Service) replicaRoutes(e *echo.Echo) {
	e.GET(operator.PathReplicas, s.replicas, s.authenticated)
	e.DELETE(operator.PathReplicas, s.removeReplica, s.authenticated)
	e.GET(operator.PathBackup, s.backup, s.authenticated)
}

func (s *Service) findReplicas() (port.Replicas, error) {
	return kernel.Find[port.Replicas](s.kernel, port.NameLog)
}

// replicas lists the replicas with their own status and the leader's view of
// their membership and lag.
func (s *Service) replicas(c echo.Context) error {
	log, err := s.findReplicas()
	if err != nil {
		return err
	}
	list := log.Status(c.Request().Context(), port.GroupMain)
	members := map[string]port.ReplicaMember{}
	for _, st := range list {
		for _, m := range st.Members {
			if st.Role == "leader" {
				members[m.Name] = m
			}
		}
	}
	out := make([]operator.Replica, 0, len(list))
	for _, st := range list {
		m, isMember := members[st.Name]
		out = append(out, operator.Replica{
			Name: st.Name, Address: st.Address, Role: st.Role, Term: st.Term, Leader: st.Leader, Last: st.Last,
			Committed: st.Committed, Applied: st.Applied, Version: st.Version, Lag: m.Lag,
			Voter: isMember && !m.Learner, Error: st.Error,
		})
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Service) removeReplica(c echo.Context) error {
	name := c.QueryParam("name")
	if name == "" {
		return fault.New(fault.Malformed, "name the replica with ?name=", "no replica is named")
	}
	log, err := s.findReplicas()
	if err != nil {
		return err
	}
	if err := log.Remove(c.Request().Context(), port.GroupMain, name); err != nil {
		return err
	}
	id, _ := c.Get(operatorID).(string)
	s.log.Info("replica removed", zap.String("replica", name), zap.String("operator", id))
	return s.replicas(c)
}

// backup answers a snapshot of the log. It is buffered first, so that a failure
// yields an error instead of a partial snapshot.
func (s *Service) backup(c echo.Context) error {
	log, err := s.findReplicas()
	if err != nil {
		return err
	}
	data := bytes.Buffer{}
	if err := log.Backup(c.Request().Context(), port.GroupMain, &data); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, operator.Backup{Snapshot: data.Bytes()})
}
