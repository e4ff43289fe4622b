package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/internal/standin"
)

func standinCommand() *Command {
	a := upstream.Announcement{}
	daemons, kind, key := "", "", ""
	speed := standin.Speed{}
	return &Command{
		Name: "standin", Summary: "run a stand-in upstream", Example: "verbenastep standin -pool logbook-model -daemons 127.0.0.1:7301",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&a.Name, "name", "standin-1", "the upstream's `NAME`")
			f.StringVar(&kind, "kind", "runner", "runner or service")
			f.StringVar(&a.Pool, "pool", "", "the model's or service's `NAME`")
			f.StringVar(&a.Address, "listen", "127.0.0.1:0", "`ADDRESS` to serve on")
			f.StringVar(&a.Region, "region", "", "region")
			f.StringVar(&a.DataCentre, "data-centre", "", "data centre")
			f.IntVar(&a.Slots, "slots", 8, "requests at once")
			f.StringVar(&daemons, "daemons", "127.0.0.1:7301", "upstreams' `ADDRESSES` of daemons, comma-separated")
			f.StringVar(&key, "key", "", "the upstream's key")
			f.Float64Var(&speed.PrefillPerSecond, "prefill", 4000, "prompt tokens a second")
			f.Float64Var(&speed.DecodePerSecond, "decode", 50, "output tokens a second for one stream")
		},
		Run: func(ctx context.Context, std IO, _ []string) error {
			a.Kind = upstream.Kind(kind)
			a.Incarnation = uint64(time.Now().UnixNano())
			server, announcement := newStandin(a, speed)
			if err := server.Listen(); err != nil {
				return err
			}
			defer server.Close()
			fmt.Fprintf(std.Err, "standin %s serves %s on %s\n", a.Name, a.Pool, announcement().Address)
			announcer := &standin.Announcer{Daemons: strings.Split(daemons, ","), Key: key, State: announcement}
			announcer.Run(ctx)
			return nil
		},
	}
}

// standinServer is the part that both kinds of stand-in upstream share.
type standinServer interface {
	Listen() error
	Close()
}

// newStandin returns a stand-in of the announced kind and a function that returns
// its current announcement.
func newStandin(a upstream.Announcement, speed standin.Speed) (standinServer, func() upstream.Announcement) {
	if a.Kind == upstream.PlainService {
		s := standin.NewService(a, 20*time.Millisecond)
		return s, func() upstream.Announcement { return s.Self }
	}
	r := standin.NewRunner(a, speed)
	return r, func() upstream.Announcement { return r.Self }
}
