package standin

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Main runs the command line of the stand-ins and returns the exit code.
func Main(args []string) int {
	var p Platform
	var cfg EngineConfig
	version := int64(1)
	listen := "127.0.0.1:0"
	parser := flaggy.NewParser("standin")
	platform, engine := flaggy.NewSubcommand("platform"), flaggy.NewSubcommand("engine")
	platform.Description, engine.Description = "play the platform", "play a model engine or plain service"
	for _, s := range []*flaggy.Subcommand{platform, engine} {
		s.String(&listen, "l", "listen", "host:port")
		s.Int64(&cfg.TokenMicros, "", "token-micros", "time of one token")
		s.Int64(&cfg.SwapMillis, "", "swap-millis", "time of an activation")
		s.Int(&cfg.Slots, "", "slots", "requests batched at once")
		s.Bool(&cfg.CheckFence, "", "check-fence", "refuse older fencing numbers")
	}
	platform.Bool(&p.CheckFence, "", "orders-check-fence", "refuse orders with older fencing numbers")
	platform.Int64(&p.StartMillis, "", "start-millis", "time until an ordered target is up")
	platform.Int64(&p.LagMillis, "", "lag-millis", "age of the lists")
	engine.String(&cfg.Name, "n", "name", "name of the engine")
	engine.String(&cfg.CrashOn, "", "crash-on", "prompts with this text crash the engine")
	engine.Int64(&version, "", "weights", "weights at the start")
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
		fmt.Fprintln(os.Stderr, "error: name platform or engine")
		return 2
	}
	srv := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, "error:", srv.ListenAndServe())
	return 1
}
