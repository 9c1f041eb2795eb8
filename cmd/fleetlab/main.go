// Fleetlab is the trial tool: it starts a fleet on one machine as the platform
// would, drives it with simulated clients, injects faults, and checks every
// guarantee against what clients and operators observed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/testfleet"
)

type up struct {
	deployment, folder, binaries string
}

func (*up) Name() string     { return "up" }
func (*up) Synopsis() string { return "start a fleet and keep it until interrupted" }
func (*up) Usage() string    { return "up [-deployment small|fjordlys|qureshi] [-folder DIR]\n" }
func (up *up) SetFlags(set *flag.FlagSet) {
	set.StringVar(&up.deployment, "deployment", "small", "the `size`: small, fjordlys or qureshi")
	set.StringVar(&up.folder, "folder", "", "`folder` for settings, logs and data; a new one if not given")
	set.StringVar(&up.binaries, "binaries", ownFolder(), "`folder` of the daemons' programs")
}

func ownFolder() string {
	path, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(path)
}

// startFleet creates the files of a fleet in a folder, a new one if none is given, and starts the fleet.
func startFleet(name, folder, binaries string) (*testfleet.Fleet, string, error) {
	deployment, found := testfleet.Deployments[name]
	if !found {
		return nil, "", fmt.Errorf("no deployment is named %q", name)
	}
	if folder == "" {
		made, err := os.MkdirTemp("", "fleetlab-")
		if err != nil {
			return nil, "", err
		}
		folder = made
	}
	running, err := testfleet.New(deployment, folder, binaries)
	if err != nil {
		return nil, folder, err
	}
	return running, folder, running.StartAll()
}

func (up *up) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	running, folder, err := startFleet(up.deployment, up.folder, up.binaries)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	defer running.StopAll()
	fmt.Printf("folder   %s\nkey      %s\n", folder, testfleet.Key)
	if err := running.WaitReady(60*time.Second, running.Names()...); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
	}
	for _, name := range running.Names() {
		daemon := running.Daemons[name]
		fmt.Printf("%-10s %-7s ctl %-18s caller %s\n", daemon.Name, daemon.Zone, daemon.Control, daemon.Caller)
	}
	fmt.Println("the fleet is up; interrupt to stop it")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return subcommands.ExitSuccess
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&up{}, "")
	subcommands.Register(&simulate{}, "")
	subcommands.Register(&trial{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
