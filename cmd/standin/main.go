// Command standin runs stand-in upstreams with their platform, or sends a limited
// number of requests, for the demo and for manual tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"camphorridge/internal/stand"
)

// rackSize is the number of instances in a rack.
const rackSize = 4

// upstreamFlags are the flags of the subcommand upstreams.
type upstreamFlags struct {
	zone, platform, announce, pools, delay, reboot string
}

// loadFlags are the flags of the subcommand load.
type loadFlags struct {
	entries, service, customer, pause, timeout, prefix string
	requests, concurrency                              int
	idempotencyKeys                                    bool
}

func main() {
	up := upstreamFlags{delay: "5ms", reboot: "500ms", platform: "127.0.0.1:0"}
	ld := loadFlags{requests: 100, concurrency: 8, pause: "0s", timeout: "5s"}
	upCmd := flaggy.NewSubcommand("upstreams")
	upCmd.Description = "run stand-in upstreams and their platform"
	upCmd.String(&up.zone, "", "zone", "availability zone")
	upCmd.String(&up.platform, "", "platform", "address of the platform's interface")
	upCmd.String(&up.announce, "", "announce", "upstream-facing addresses of entry processes, separated by commas")
	upCmd.String(&up.pools, "", "pools", "number of instances of each pool, such as merge=4,portal=2")
	upCmd.String(&up.delay, "", "delay", "duration of a request")
	upCmd.String(&up.reboot, "", "reboot", "duration of a reboot")
	ldCmd := flaggy.NewSubcommand("load")
	ldCmd.Description = "send a limited number of requests"
	ldCmd.String(&ld.entries, "", "entries", "caller-facing addresses of entry processes, separated by commas")
	ldCmd.String(&ld.service, "", "service", "service to send the requests to")
	ldCmd.String(&ld.customer, "", "customer", "customer that sends the requests")
	ldCmd.String(&ld.pause, "", "pause", "pause of each sender between an answer and its next request")
	ldCmd.String(&ld.timeout, "", "timeout", "timeout of one request")
	ldCmd.String(&ld.prefix, "", "prefix", "prefix of the IDs of requests")
	ldCmd.Int(&ld.requests, "", "requests", "number of requests")
	ldCmd.Int(&ld.concurrency, "", "workers", "maximum number of requests in flight at the same time")
	ldCmd.Bool(&ld.idempotencyKeys, "", "keyed", "give each request an idempotency key")
	flaggy.SetName("standin")
	flaggy.AttachSubcommand(upCmd, 1)
	flaggy.AttachSubcommand(ldCmd, 1)
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case upCmd.Used:
		err = runUpstreams(ctx, up)
	case ldCmd.Used:
		err = runLoad(ctx, ld)
	default:
		flaggy.ShowHelpAndExit("the subcommand is missing: upstreams or load")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// runUpstreams runs the upstreams and their platform until ctx is done.
func runUpstreams(ctx context.Context, f upstreamFlags) error {
	delay, err := time.ParseDuration(f.delay)
	if err != nil {
		return fmt.Errorf("--delay: %w", err)
	}
	reboot, err := time.ParseDuration(f.reboot)
	if err != nil {
		return fmt.Errorf("--reboot: %w", err)
	}
	var all []stand.Options
	for _, part := range strings.Split(f.pools, ",") {
		pool, count, _ := strings.Cut(part, "=")
		n, err := strconv.Atoi(count)
		if err != nil {
			return fmt.Errorf("--pools: %q: want pool=number", part)
		}
		for range n {
			all = append(all, stand.Options{
				Instance: fmt.Sprintf("%s-i%02d", f.zone, len(all)),
				Zone:     f.zone, Rack: fmt.Sprintf("%s-r%d", f.zone, len(all)/rackSize),
				Pool: pool, Slots: 8, Connections: 64, Delay: delay,
				AnnounceTo: strings.Split(f.announce, ","),
			})
		}
	}
	p, err := stand.StartPlatform(f.platform, reboot, all)
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Printf("platform %s serves %d upstreams\n", p.Addr(), len(all))
	<-ctx.Done()
	return nil
}

// runLoad sends the requests and prints the number of answers by status and outcome.
func runLoad(ctx context.Context, f loadFlags) error {
	pause, err := time.ParseDuration(f.pause)
	if err != nil {
		return fmt.Errorf("--pause: %w", err)
	}
	timeout, err := time.ParseDuration(f.timeout)
	if err != nil {
		return fmt.Errorf("--timeout: %w", err)
	}
	l := stand.Load{
		Entries: strings.Split(f.entries, ","), Service: f.service, Customer: f.customer,
		Requests: f.requests, Concurrency: f.concurrency, IdempotencyKeys: f.idempotencyKeys, Pause: pause,
		Timeout: timeout, Prefix: f.prefix,
	}
	fmt.Print(l.Run(ctx).String())
	return nil
}
