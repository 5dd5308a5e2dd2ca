// Command corianderbay runs the processes of the load balancer, and stand-ins for
// its environment in trials.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/corianderbay/corianderbay/daemon"
	"github.com/corianderbay/corianderbay/setting"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := setting.Execute(ctx, daemon.NewCommand())
	stop()
	os.Exit(code)
}
