// Command corianderctl is the command-line tool of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/corianderbay/corianderbay/ctl"
	"github.com/corianderbay/corianderbay/daemon"
	"github.com/corianderbay/corianderbay/setting"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := setting.Execute(ctx, ctl.NewCommand(ctl.Config{Version: daemon.Version}))
	stop()
	os.Exit(code)
}
