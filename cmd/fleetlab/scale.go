// The scale run: fleets of hollow daemons of rising sizes, and one gateway with
// rising crowds, measured, with a line fitted through each figure and a plot.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"dahlialock/internal/membership"
	"dahlialock/internal/scaletest"
	"dahlialock/internal/simulator"
	"dahlialock/internal/testfleet"
)

type scale struct {
	sizes, crowds string
	seed          uint64
	length        time.Duration
	spaces        int
	target        float64
	topics, most  int
	rows          string
	beside        string
	binaries      string
	plot          string
}

func (*scale) Name() string     { return "scale" }
func (*scale) Synopsis() string { return "measure hollow fleets of rising sizes" }
func (*scale) Usage() string {
	return "scale [-sizes N,N,...] [-crowds N,N,...] [-seed N] [-length D] [-plot FILE]\n"
}
func (s *scale) SetFlags(set *flag.FlagSet) {
	set.StringVar(&s.sizes, "sizes", "15,65,150,500,1000", "how many `daemons`, a list")
	set.StringVar(&s.crowds, "crowds", "1000,10000,50000", "how many `connections` on one gateway, a list")
	set.Uint64Var(&s.seed, "seed", 1, "the `seed` of every run")
	set.DurationVar(&s.length, "length", 10*time.Second, "virtual `time` of each measured part")
	set.IntVar(&s.spaces, "spaces", 200, "how many `spaces` the configuration has that is put")
	set.Float64Var(&s.target, "at", 4300, "the `size` to which the lines are drawn out")
	set.IntVar(&s.topics, "topics", 64, "how many `topics` each gateway has a subscriber to, for the overlay's part")
	set.IntVar(&s.most, "overlay", 150, "the largest `size` that has an overlay's part")
	set.StringVar(&s.rows, "rows", "1000,10000,100000", "how many `placements` one daemon takes, a list")
	set.StringVar(&s.beside, "beside", "", "a `deployment` of real processes to measure beside a hollow fleet of its shape")
	set.StringVar(&s.binaries, "binaries", ownFolder(), "`folder` of the daemons' programs")
	set.StringVar(&s.plot, "plot", "scale.png", "`file` for the plot; none if empty")
}

func numbers(list string) ([]int, error) {
	var found []int
	for _, text := range strings.Split(list, ",") {
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 {
			return nil, fmt.Errorf("%q is no list of sizes", list)
		}
		found = append(found, number)
	}
	return found, nil
}

func (s *scale) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// The collector's threads would take the machine's other work's turn; what is told
	// as processor time is without them.
	debug.SetGCPercent(300)
	sizes, err := numbers(s.sizes)
	crowds, other := numbers(s.crowds)
	if err != nil || other != nil || s.length < 5*time.Second {
		fmt.Fprintln(os.Stderr, "fleetlab: sizes and crowds are lists of numbers, a length at least 5s:", err, other)
		return subcommands.ExitUsageError
	}
	var readings []scaletest.Reading
	for _, size := range sizes {
		topics := s.topics
		if size > s.most {
			topics = 0
		}
		reading, err := scaletest.Measure(s.seed, scaletest.Shape(size), s.length, s.spaces, topics)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleetlab:", err)
			return subcommands.ExitFailure
		}
		readings = append(readings, reading)
		fmt.Printf("%d daemons: %d gateways with agents, %d stores, %d controllers; a configuration of %d bytes everywhere after %v; measured in %v\n",
			reading.Daemons, reading.Size.Gateways, reading.Size.Stores, reading.Size.Controllers, reading.Document, reading.InForce, reading.Taken.Round(time.Millisecond))
	}
	s.tell(readings)
	if err := s.table(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	if err := s.real(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	if err := s.crowd(crowds); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	if s.plot == "" || len(readings) < 2 {
		return subcommands.ExitSuccess
	}
	if err := configAll(readings, s.plot); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// points gives the measured values of a figure for a role.
func points(readings []scaletest.Reading, figure scaletest.Figure, role string) (across, up []float64) {
	for _, reading := range readings {
		if value, found := figure.Of(reading, role); found {
			across, up = append(across, float64(reading.Daemons)), append(up, value)
		}
	}
	return across, up
}

func (s *scale) tell(readings []scaletest.Reading) {
	fmt.Printf("\nOf each daemon of a role\n| role | figure |")
	for _, reading := range readings {
		fmt.Printf(" %d |", reading.Daemons)
	}
	fmt.Printf(" slope for 1000 daemons, standard error | line at %.0f |\n| --- | --- |%s --- | --- |\n", s.target, strings.Repeat(" --- |", len(readings)))
	for _, role := range scaletest.Roles {
		figures := scaletest.Figures
		if role == membership.KindGateway {
			figures = append(slices.Clone(figures), scaletest.Overlay...)
		}
		for _, figure := range figures {
			across, up := points(readings, figure, role)
			fmt.Printf("| %s | %s, %s |", role, figure.Name, figure.Unit)
			for _, value := range up {
				fmt.Printf(" %.4g |", value)
			}
			fmt.Print(strings.Repeat(" |", len(readings)-len(up)))
			line := scaletest.Fit(across, up)
			at, off := line.At(s.target)
			fmt.Printf(" %.4g ± %.2g | %.4g ± %.2g |\n", 1000*line.Slope, 1000*line.Error, at, off)
		}
	}
	if len(readings) == 0 {
		return
	}
	last := readings[len(readings)-1]
	fmt.Printf("\nMessages by kind of %d quiet daemons, in all, in %v\n", last.Daemons, last.Quiet.Length)
	for _, role := range scaletest.Roles {
		load := last.Quiet.Roles[role]
		if load == nil {
			continue
		}
		var told []string
		for kind, count := range load.Sorted() {
			told = append(told, fmt.Sprintf("%s %d (%d bytes each)", kind, count, load.KindBytes[kind]/count))
		}
		fmt.Printf("%s: %s\n", role, strings.Join(told, ", "))
	}
}

// table measures what a table of placements costs one daemon.
func (s *scale) table() error {
	sizes, err := numbers(s.rows)
	if err != nil || len(sizes) == 0 {
		return err
	}
	fmt.Printf("\nOne daemon that takes all placements\n| placements | bytes on the wire | memory, KiB | taking, ms |\n| --- | --- | --- | --- |\n")
	for _, size := range sizes {
		rows, err := scaletest.MeasureRows(size)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d | %d | %.1f |\n", size, rows.Wire, rows.Memory/1024, float64(rows.Taking.Microseconds())/1000)
	}
	return nil
}

// real measures a deployment of real processes, and a hollow fleet of its shape.
func (s *scale) real() error {
	if s.beside == "" {
		return nil
	}
	running, folder, err := begin(s.beside, "", s.binaries)
	if running != nil {
		defer running.StopAll()
	}
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	shape := testfleet.Deployments[s.beside]
	size := simulator.Size{Gateways: shape.Gateways, Stores: shape.Stores, Controllers: shape.Controllers, Places: shape.Places, Delay: shape.Delay}
	hollow, err := scaletest.Measure(s.seed, size, s.length, 1, 0)
	if err != nil {
		return err
	}
	if err := running.WaitReady(60*time.Second, running.Names()...); err != nil {
		return err
	}
	body := `{"version":1,"spaces":[{"name":"space-0","promise":"kept","order":"topic"}],"routes":[{"prefix":"0/","space":"space-0"}]}`
	if err := putAt(running.OfKind(membership.KindController)[0].Control, body); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	before := linksOf(running)
	time.Sleep(s.length)
	after := linksOf(running)
	fmt.Printf("\n%s: real processes beside hollow daemons, quiet, each role together\n| role | messages/s real | hollow | bytes/s real | hollow | processor us/s real | hollow |\n| --- | --- | --- | --- | --- | --- | --- |\n", s.beside)
	for _, kind := range []string{membership.KindGateway, membership.KindAgent, membership.KindStore, membership.KindController} {
		seconds, load := s.length.Seconds(), *hollow.Quiet.Roles[kind]
		if first := hollow.Quiet.Roles[scaletest.Primary]; kind == membership.KindController && first != nil {
			load.Out, load.BytesOut, load.Processor = load.Out+first.Out, load.BytesOut+first.BytesOut, load.Processor+first.Processor
		}
		fmt.Printf("| %s | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f |\n", kind, (after[kind][0]-before[kind][0])/seconds, float64(load.Out)/seconds,
			(after[kind][1]-before[kind][1])/seconds, float64(load.BytesOut)/seconds, (after[kind][2]-before[kind][2])/seconds, float64(load.Processor.Microseconds())/seconds)
	}
	return nil
}

// linksOf sums what the links of each kind of process count, and their processor time in microseconds.
func linksOf(running *testfleet.Fleet) map[string][3]float64 {
	sums := map[string][3]float64{}
	for _, name := range running.Names() {
		daemon := running.Daemons[name]
		self, err := daemon.Self()
		if err != nil {
			continue
		}
		links, _ := self["links"].(map[string]any)
		messages, _ := links["messages_out"].(float64)
		bytes, _ := links["bytes_out"].(float64)
		sum := sums[daemon.Kind]
		sums[daemon.Kind] = [3]float64{sum[0] + messages, sum[1] + bytes, sum[2] + float64(daemon.ProcessorTime().Microseconds())}
	}
	return sums
}

// putAt puts a configuration at a daemon's ctl, for a while until it is taken.
func putAt(control, body string) error {
	var last error
	for range 20 {
		request, err := http.NewRequest(http.MethodPut, "http://"+control+"/v1/configuration", strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+testfleet.Key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			last = err
		} else {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Errorf("the configuration was answered %d", response.StatusCode)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

func (s *scale) crowd(sizes []int) error {
	if len(sizes) == 0 {
		return nil
	}
	fmt.Printf("\nOne gateway, each connection with two subscriptions\n| connections | bytes a connection | idle processor, ns a connection and second | a delivery, ns |\n| --- | --- | --- | --- |\n")
	var across, bytes, idle, delivery []float64
	for _, size := range sizes {
		crowd, err := scaletest.MeasureCrowd(s.seed, size, 10*time.Second)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.0f | %d | %d |\n", size, crowd.Bytes, crowd.Idle.Nanoseconds(), crowd.Delivery.Nanoseconds())
		count := float64(size)
		across, bytes = append(across, count), append(bytes, crowd.Bytes*count/(1<<20))
		idle, delivery = append(idle, float64(crowd.Idle)*count/1e6), append(delivery, float64(crowd.Delivery)*count/1e6)
	}
	for _, each := range []struct {
		name   string
		values []float64
	}{{"memory, MiB", bytes}, {"idle processor, ms a second", idle}, {"a message to all, ms", delivery}} {
		line := scaletest.Fit(across, each.values)
		at, off := line.At(49000)
		fmt.Printf("%s for 1000 connections: %.4g ± %.2g; at 49000: %.4g ± %.2g\n", each.name, 1000*line.Slope, 1000*line.Error, at, off)
	}
	return nil
}

// configAll makes one document for each of the first figures, one line a role.
func configAll(readings []scaletest.Reading, file string) error {
	const rows, columns = 2, 3
	documents := make([][]*plot.Plot, rows)
	for position, figure := range scaletest.Figures[:rows*columns] {
		document := plot.New()
		document.Title.Text, document.X.Label.Text, document.Y.Label.Text = figure.Name+" of one daemon", "daemons", figure.Unit
		document.X.Scale, document.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		document.Y.Scale, document.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		document.Legend.Top, document.Legend.Left = true, true
		for number, role := range scaletest.Roles {
			across, up := points(readings, figure, role)
			var drawn plotter.XYs
			for place, value := range up {
				if value > 0 {
					drawn = append(drawn, plotter.XY{X: across[place], Y: value})
				}
			}
			if len(drawn) == 0 {
				continue
			}
			line, marks, err := plotter.NewLinePoints(drawn)
			if err != nil {
				return err
			}
			line.Color, marks.Color, marks.Shape = plotutil.Color(number), plotutil.Color(number), plotutil.Shape(number)
			document.Add(line, marks)
			document.Legend.Add(role, line, marks)
		}
		documents[position/columns] = append(documents[position/columns], document)
	}
	return drawAll(file, documents)
}

// drawAll puts two rows of documents on one picture.
func drawAll(file string, documents [][]*plot.Plot) error {
	picture := vgimg.New(16*vg.Inch, 10*vg.Inch)
	tiles := draw.Tiles{Rows: len(documents), Cols: len(documents[0]), PadX: vg.Millimeter, PadY: vg.Millimeter}
	for row, canvases := range plot.Align(documents, tiles, draw.New(picture)) {
		for column, canvas := range canvases {
			documents[row][column].Draw(canvas)
		}
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err = (vgimg.PngCanvas{Canvas: picture}).WriteTo(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
