package settings

import (
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"dahlialock/internal/config"
)

const (
	minMemoryBytes = 16 << 20
	maxMemoryBytes = 1 << 44

	minLinkBytesPerSecond = 10_000
	maxLinkBytesPerSecond = 1 << 40

	bitsPerByte = 8
)

// memoryUnits are tried in order. "B" must be last, since the other units end with it.
var memoryUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// memory reads a number of bytes, or a text such as "284MB".
func (p *parser) memory(path string, value *fastjson.Value) int64 {
	if value == nil || value.Type() != fastjson.TypeString {
		return p.Integer(path, value, 0, minMemoryBytes, maxMemoryBytes)
	}
	text := p.Text(path, value, "")
	number, unit := text, int64(1)
	for _, each := range memoryUnits {
		if trimmed, found := strings.CutSuffix(text, each.suffix); found {
			number, unit = trimmed, each.bytes
			break
		}
	}
	count, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		p.Report(path, config.FaultWrongType, "%q is not a number of bytes such as \"284MB\"", text)
		return 0
	}
	if count < 0 || count > maxMemoryBytes/unit || count*unit < minMemoryBytes {
		p.Report(path, config.FaultOutOfRange, "%s is not between 16MiB and 16384GiB", text)
		return 0
	}
	return count * unit
}

var bandwidthUnits = []struct {
	suffix        string
	bitsPerSecond float64
}{
	{"kbit/s", 1e3},
	{"Mbit/s", 1e6},
	{"Gbit/s", 1e9},
}

// bandwidth reads a text such as "2.6Mbit/s" and returns bytes per second, or 0 if the
// text is absent or empty.
func (p *parser) bandwidth(path string, value *fastjson.Value) int {
	text := p.Text(path, value, "")
	if text == "" {
		return 0
	}
	bytesPerSecond, valid := parseBandwidth(text)
	switch {
	case !valid:
		p.Report(path, config.FaultWrongType, "%q is not a rate such as \"2.6Mbit/s\"", text)
	case bytesPerSecond >= minLinkBytesPerSecond && bytesPerSecond <= maxLinkBytesPerSecond:
		return int(bytesPerSecond)
	default:
		// This case includes NaN.
		p.Report(path, config.FaultOutOfRange, "%s is not between 80kbit/s and 8796Gbit/s", text)
	}
	return 0
}

// parseBandwidth converts a text such as "2.6Mbit/s" to bytes per second.
func parseBandwidth(text string) (bytesPerSecond float64, valid bool) {
	for _, unit := range bandwidthUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseFloat(number, 64)
		return count * unit.bitsPerSecond / bitsPerByte, err == nil
	}
	return 0, false
}
