package standin

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Main runs the simulated platform or an engine, as args say, and returns the
// exit code.
func Main(args []string) int {
	var p Platform
	var cfg EngineConfig
	version := int64(1)
	listen := "127.0.0.1:0"
	parser := flaggy.NewParser("standin")
	platform, engine := flaggy.NewSubcommand("platform"), flaggy.NewSubcommand("engine")
	platform.Description, engine.Description = "simulate the platform", "simulate an inference engine or plain service"
	for _, s := range []*flaggy.Subcommand{platform, engine} {
		s.String(&listen, "l", "listen", "host:port")
		s.Int64(&cfg.TokenMicros, "", "token-micros", "time per token, in microseconds")
		s.Int64(&cfg.SwapMillis, "", "swap-millis", "time to activate weights, in milliseconds")
		s.Int(&cfg.Slots, "", "slots", "number of requests that run concurrently")
		s.Bool(&cfg.CheckFence, "", "check-fence", "refuse weight swaps with stale fencing tokens")
	}
	platform.Bool(&p.CheckFence, "", "orders-check-fence", "refuse orders with stale fencing tokens")
	platform.Int64(&p.StartMillis, "", "start-millis", "time to start an ordered target, in milliseconds")
	platform.Int64(&p.LagMillis, "", "lag-millis", "age of the lists, in milliseconds")
	engine.String(&cfg.Name, "n", "name", "name of the engine")
	engine.String(&cfg.CrashOn, "", "crash-on", "text that crashes the engine when a prompt contains it")
	engine.Int64(&version, "", "weights", "weight version at the start")
	parser.AttachSubcommand(platform, 1)
	parser.AttachSubcommand(engine, 1)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 2
	}
	cfg.Version = unit.Version(version)
	var h http.Handler
	switch {
	case platform.Used:
		p.Engine = cfg
		h = p.Handler()
	case engine.Used:
		cfg.Exit = func() { os.Exit(1) }
		h = NewEngine(cfg).Handler()
	default:
		fmt.Fprintln(os.Stderr, "error: missing subcommand: platform or engine")
		return 2
	}
	srv := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, "error:", srv.ListenAndServe())
	return 1
}
