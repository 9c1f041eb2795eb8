// The scale run: fleets of hollow daemons of rising sizes, and one lantern with
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

	"dahlialock/internal/beacon"
	"dahlialock/internal/fleet"
	"dahlialock/internal/lightship"
	"dahlialock/internal/swell"
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
func (scale *scale) SetFlags(set *flag.FlagSet) {
	set.StringVar(&scale.sizes, "sizes", "15,65,150,500,1000", "how many `daemons`, a list")
	set.StringVar(&scale.crowds, "crowds", "1000,10000,50000", "how many `connections` on one lantern, a list")
	set.Uint64Var(&scale.seed, "seed", 1, "the `seed` of every run")
	set.DurationVar(&scale.length, "length", 10*time.Second, "virtual `time` of each measured part")
	set.IntVar(&scale.spaces, "spaces", 200, "how many `spaces` the configuration has that is put")
	set.Float64Var(&scale.target, "at", 4300, "the `size` to which the lines are drawn out")
	set.IntVar(&scale.topics, "topics", 64, "how many `topics` each lantern has a subscriber to, for the overlay's part")
	set.IntVar(&scale.most, "overlay", 150, "the largest `size` that has an overlay's part")
	set.StringVar(&scale.rows, "rows", "1000,10000,100000", "how many `placements` one daemon takes, a list")
	set.StringVar(&scale.beside, "beside", "", "a `deployment` of real processes to measure beside a hollow fleet of its shape")
	set.StringVar(&scale.binaries, "binaries", ownFolder(), "`folder` of the daemons' programs")
	set.StringVar(&scale.plot, "plot", "scale.png", "`file` for the plot; none if empty")
}

func numbers(list string) ([]int, error) {
	var found []int
	for _, text := range strings.Split(list, ",") {
		if text == "" {
			continue
		}
		number, fault := strconv.Atoi(text)
		if fault != nil || number < 1 {
			return nil, fmt.Errorf("%q is no list of sizes", list)
		}
		found = append(found, number)
	}
	return found, nil
}

func (scale *scale) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// The collector's threads would take the machine's other work's turn; what is told
	// as processor time is without them.
	debug.SetGCPercent(300)
	sizes, fault := numbers(scale.sizes)
	crowds, other := numbers(scale.crowds)
	if fault != nil || other != nil || scale.length < 5*time.Second {
		fmt.Fprintln(os.Stderr, "harbour: sizes and crowds are lists of numbers, a length at least 5s:", fault, other)
		return subcommands.ExitUsageError
	}
	var readings []lightship.Reading
	for _, size := range sizes {
		topics := scale.topics
		if size > scale.most {
			topics = 0
		}
		reading, fault := lightship.Measure(scale.seed, lightship.Shape(size), scale.length, scale.spaces, topics)
		if fault != nil {
			fmt.Fprintln(os.Stderr, "harbour:", fault)
			return subcommands.ExitFailure
		}
		readings = append(readings, reading)
		fmt.Printf("%d daemons: %d lanterns with tenders, %d keepers, %d pilots; a configuration of %d bytes everywhere after %v; measured in %v\n",
			reading.Daemons, reading.Size.Lanterns, reading.Size.Keepers, reading.Size.Pilots, reading.Document, reading.InForce, reading.Taken.Round(time.Millisecond))
	}
	scale.tell(readings)
	if fault := scale.table(); fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitFailure
	}
	if fault := scale.real(); fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitFailure
	}
	if fault := scale.crowd(crowds); fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitFailure
	}
	if scale.plot == "" || len(readings) < 2 {
		return subcommands.ExitSuccess
	}
	if fault := chartAll(readings, scale.plot); fault != nil {
		fmt.Fprintln(os.Stderr, "harbour:", fault)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// points gives the measured values of a figure for a role.
func points(readings []lightship.Reading, figure lightship.Figure, role string) (across, up []float64) {
	for _, reading := range readings {
		if value, found := figure.Of(reading, role); found {
			across, up = append(across, float64(reading.Daemons)), append(up, value)
		}
	}
	return across, up
}

func (scale *scale) tell(readings []lightship.Reading) {
	fmt.Printf("\nOf each daemon of a role\n| role | figure |")
	for _, reading := range readings {
		fmt.Printf(" %d |", reading.Daemons)
	}
	fmt.Printf(" slope for 1000 daemons, standard error | line at %.0f |\n| --- | --- |%s --- | --- |\n", scale.target, strings.Repeat(" --- |", len(readings)))
	for _, role := range lightship.Roles {
		figures := lightship.Figures
		if role == beacon.KindLantern {
			figures = append(slices.Clone(figures), lightship.Overlay...)
		}
		for _, figure := range figures {
			across, up := points(readings, figure, role)
			fmt.Printf("| %s | %s, %s |", role, figure.Name, figure.Unit)
			for _, value := range up {
				fmt.Printf(" %.4g |", value)
			}
			fmt.Print(strings.Repeat(" |", len(readings)-len(up)))
			line := lightship.Fit(across, up)
			at, off := line.At(scale.target)
			fmt.Printf(" %.4g ± %.2g | %.4g ± %.2g |\n", 1000*line.Slope, 1000*line.Error, at, off)
		}
	}
	if len(readings) == 0 {
		return
	}
	last := readings[len(readings)-1]
	fmt.Printf("\nMessages by kind of %d quiet daemons, in all, in %v\n", last.Daemons, last.Quiet.Length)
	for _, role := range lightship.Roles {
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
func (scale *scale) table() error {
	sizes, fault := numbers(scale.rows)
	if fault != nil || len(sizes) == 0 {
		return fault
	}
	fmt.Printf("\nOne daemon that takes all placements\n| placements | bytes on the wire | memory, KiB | taking, ms |\n| --- | --- | --- | --- |\n")
	for _, size := range sizes {
		rows, fault := lightship.MeasureRows(size)
		if fault != nil {
			return fault
		}
		fmt.Printf("| %d | %d | %d | %.1f |\n", size, rows.Wire, rows.Memory/1024, float64(rows.Taking.Microseconds())/1000)
	}
	return nil
}

// real measures a deployment of real processes, and a hollow fleet of its shape.
func (scale *scale) real() error {
	if scale.beside == "" {
		return nil
	}
	running, folder, fault := begin(scale.beside, "", scale.binaries)
	if running != nil {
		defer running.StopAll()
	}
	if fault != nil {
		return fault
	}
	defer func() { _ = os.RemoveAll(folder) }()
	shape := fleet.Deployments[scale.beside]
	size := swell.Size{Lanterns: shape.Lanterns, Keepers: shape.Keepers, Pilots: shape.Pilots, Places: shape.Places, Delay: shape.Delay}
	hollow, fault := lightship.Measure(scale.seed, size, scale.length, 1, 0)
	if fault != nil {
		return fault
	}
	if fault := running.WaitReady(60*time.Second, running.Names()...); fault != nil {
		return fault
	}
	body := `{"version":1,"spaces":[{"name":"space-0","promise":"kept","order":"topic"}],"routes":[{"prefix":"0/","space":"space-0"}]}`
	if fault := putAt(running.OfKind(beacon.KindPilot)[0].Control, body); fault != nil {
		return fault
	}
	time.Sleep(10 * time.Second)
	before := linksOf(running)
	time.Sleep(scale.length)
	after := linksOf(running)
	fmt.Printf("\n%s: real processes beside hollow daemons, quiet, each role together\n| role | messages/s real | hollow | bytes/s real | hollow | processor us/s real | hollow |\n| --- | --- | --- | --- | --- | --- | --- |\n", scale.beside)
	for _, kind := range []string{beacon.KindLantern, beacon.KindTender, beacon.KindKeeper, beacon.KindPilot} {
		seconds, load := scale.length.Seconds(), *hollow.Quiet.Roles[kind]
		if first := hollow.Quiet.Roles[lightship.Primary]; kind == beacon.KindPilot && first != nil {
			load.Out, load.BytesOut, load.Processor = load.Out+first.Out, load.BytesOut+first.BytesOut, load.Processor+first.Processor
		}
		fmt.Printf("| %s | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f |\n", kind, (after[kind][0]-before[kind][0])/seconds, float64(load.Out)/seconds,
			(after[kind][1]-before[kind][1])/seconds, float64(load.BytesOut)/seconds, (after[kind][2]-before[kind][2])/seconds, float64(load.Processor.Microseconds())/seconds)
	}
	return nil
}

// linksOf sums what the links of each kind of process count, and their processor time in microseconds.
func linksOf(running *fleet.Fleet) map[string][3]float64 {
	sums := map[string][3]float64{}
	for _, name := range running.Names() {
		daemon := running.Daemons[name]
		self, fault := daemon.Self()
		if fault != nil {
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
		request, fault := http.NewRequest(http.MethodPut, "http://"+control+"/v1/configuration", strings.NewReader(body))
		if fault != nil {
			return fault
		}
		request.Header.Set("Authorization", "Bearer "+fleet.Key)
		response, fault := http.DefaultClient.Do(request)
		if fault != nil {
			last = fault
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

func (scale *scale) crowd(sizes []int) error {
	if len(sizes) == 0 {
		return nil
	}
	fmt.Printf("\nOne lantern, each connection with two subscriptions\n| connections | bytes a connection | idle processor, ns a connection and second | a delivery, ns |\n| --- | --- | --- | --- |\n")
	var across, bytes, idle, delivery []float64
	for _, size := range sizes {
		crowd, fault := lightship.MeasureCrowd(scale.seed, size, 10*time.Second)
		if fault != nil {
			return fault
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
		line := lightship.Fit(across, each.values)
		at, off := line.At(49000)
		fmt.Printf("%s for 1000 connections: %.4g ± %.2g; at 49000: %.4g ± %.2g\n", each.name, 1000*line.Slope, 1000*line.Error, at, off)
	}
	return nil
}

// chartAll makes one chart for each of the first figures, one line a role.
func chartAll(readings []lightship.Reading, file string) error {
	const rows, columns = 2, 3
	charts := make([][]*plot.Plot, rows)
	for position, figure := range lightship.Figures[:rows*columns] {
		chart := plot.New()
		chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = figure.Name+" of one daemon", "daemons", figure.Unit
		chart.X.Scale, chart.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		chart.Y.Scale, chart.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		chart.Legend.Top, chart.Legend.Left = true, true
		for number, role := range lightship.Roles {
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
			line, marks, fault := plotter.NewLinePoints(drawn)
			if fault != nil {
				return fault
			}
			line.Color, marks.Color, marks.Shape = plotutil.Color(number), plotutil.Color(number), plotutil.Shape(number)
			chart.Add(line, marks)
			chart.Legend.Add(role, line, marks)
		}
		charts[position/columns] = append(charts[position/columns], chart)
	}
	return drawAll(file, charts)
}

// drawAll puts two rows of charts on one picture.
func drawAll(file string, charts [][]*plot.Plot) error {
	picture := vgimg.New(16*vg.Inch, 10*vg.Inch)
	tiles := draw.Tiles{Rows: len(charts), Cols: len(charts[0]), PadX: vg.Millimeter, PadY: vg.Millimeter}
	for row, canvases := range plot.Align(charts, tiles, draw.New(picture)) {
		for column, canvas := range canvases {
			charts[row][column].Draw(canvas)
		}
	}
	out, fault := os.Create(file)
	if fault != nil {
		return fault
	}
	if _, fault = (vgimg.PngCanvas{Canvas: picture}).WriteTo(out); fault != nil {
		_ = out.Close()
		return fault
	}
	return out.Close()
}
