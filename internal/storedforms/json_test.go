package storedforms_test

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"testing"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/gateway"
	"dahlialock/internal/lineserver"
	"dahlialock/internal/membership"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/storedforms"
	"dahlialock/internal/transport"
)

func jsonForm[T any](name string) storedforms.Form {
	return storedforms.Form{
		Name:   name,
		Type:   reflect.TypeFor[T](),
		Text:   true,
		Encode: json.Marshal,
		Decode: func(packed []byte) (any, error) {
			var value T
			err := json.Unmarshal(packed, &value)
			return value, err
		},
	}
}

// jsonForms returns the structs that operators receive at ctl and clients in their sessions.
func jsonForms() []storedforms.Form {
	return []storedforms.Form{
		jsonForm[membership.Member]("ctl-cluster-member"),
		jsonForm[membership.Load]("ctl-cluster-load"),
		jsonForm[membership.Placement]("ctl-placement"),
		jsonForm[membership.Directives]("ctl-self-orders"),
		jsonForm[gateway.Counts]("ctl-self-gateway"),
		jsonForm[overlay.Counts]("ctl-self-overlay"),
		jsonForm[partition.Counts]("ctl-self-store"),
		jsonForm[partition.PartitionStatus]("ctl-self-partition"),
		jsonForm[gateway.TrackerStatus]("tracker"),
		jsonForm[lineserver.SentTotal]("ctl-self-told"),
		jsonForm[transport.KindCount]("ctl-self-kind"),
		jsonForm[decisionlog.Entry]("ctl-decision"),
		jsonForm[config.Fault]("ctl-fault"),
		jsonForm[gateway.Event]("caller-event"),
	}
}

func TestJSONFormsKeepTheirTexts(t *testing.T) { storedforms.CheckBytes(t, "json.txt", jsonForms()) }

func TestJSONFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckJSONKeys(t, jsonForms()) }

// TestKindsKeepTheirNames checks the names under which ctl counts messages by kind.
func TestKindsKeepTheirNames(t *testing.T) {
	var lines []string
	for _, number := range slices.Sorted(maps.Keys(transport.Numbers())) {
		lines = append(lines, strconv.Itoa(int(number))+" "+transport.KindName(number))
	}
	storedforms.Compare(t, "kinds.txt", lines)
}
