package admin

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

func (s *Service) rolloutRoutes(e *echo.Echo) {
	e.GET(operator.PathRollout, s.showRollout, s.authenticated)
	e.POST(operator.PathRollout, s.startRollout, s.authenticated)
	e.DELETE(operator.PathRollout, s.abortRollout, s.authenticated)
}

// findRollouts looks the service up for each call: it may start after this one, and daemons
// without the settings do not have it.
func (s *Service) findRollouts() (port.Rollouts, error) {
	orders, err := kernel.Find[port.Rollouts](s.kernel, port.NameRollouts)
	if err != nil {
		return nil, fault.New(fault.NotFound, "ask a control daemon whose settings have routing.rollout", "this daemon takes no orders of rollouts")
	}
	return orders, nil
}

func (s *Service) startRollout(c echo.Context) error {
	orders, err := s.findRollouts()
	if err != nil {
		return err
	}
	o := operator.RolloutOrder{}
	if err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, port.MaxRolloutOrderBytes)).Decode(&o); err != nil {
		return fault.New(fault.Malformed, "send an order as docs/OPERATORS.md shows", "the body is not readable: %v", err)
	}
	r, err := orders.Order(c.Request().Context(), o.Pool, o.Target, port.RolloutDuration(o.Seconds))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, encodeRollout(r))
}

func (s *Service) showRollout(c echo.Context) error {
	orders, err := s.findRollouts()
	if err != nil {
		return err
	}
	pool := c.QueryParam("pool")
	r, found, err := orders.Show(c.Request().Context(), pool)
	if err != nil {
		return err
	}
	if !found {
		return fault.New(fault.NotFound, "check the pool's name with ?pool=", "no rollout was ordered for pool %q", pool)
	}
	return c.JSON(http.StatusOK, encodeRollout(r))
}

func (s *Service) abortRollout(c echo.Context) error {
	orders, err := s.findRollouts()
	if err != nil {
		return err
	}
	r, err := orders.Abort(c.Request().Context(), c.QueryParam("pool"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, encodeRollout(r))
}

func encodeRollout(r rollout.Record) operator.Rollout {
	return operator.Rollout{
		Pool: r.Pool, Target: r.Target, Number: r.Number, Phase: string(r.Phase), Seconds: r.Duration.Seconds(), ElapsedSeconds: r.Elapsed.Seconds(),
		Requests: r.Requests, Reserved: r.Reserved, Reason: r.Reason,
	}
}
