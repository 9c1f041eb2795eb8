package storedforms_test

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"dahlialock/internal/config"
	"dahlialock/internal/consensus"
	"dahlialock/internal/controller"
	_ "dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	_ "dahlialock/internal/overlay"
	_ "dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/storedforms"
	"dahlialock/internal/transport"
)

// sampleMeta is the metadata before the body in each recorded frame.
var sampleMeta = statemachine.Meta{From: "192.0.2.1:7000", Version: 300}

func encodeFrame(message any) ([]byte, error) { return transport.Encode(sampleMeta, message) }

// frameHeaderBytes is the size in bytes of the length that precedes a frame.
const frameHeaderBytes = 4

func decodeFrame(packed []byte) (any, error) {
	length, enough, err := transport.FrameLength(packed)
	if err != nil {
		return nil, err
	}
	if !enough || length != len(packed)-frameHeaderBytes {
		return nil, fmt.Errorf("the frame length is %d, but %d bytes follow", length, len(packed)-frameHeaderBytes)
	}
	meta, message, err := transport.Decode(packed[frameHeaderBytes:])
	if err == nil && meta != sampleMeta {
		return nil, fmt.Errorf("the frame has the metadata %v", meta)
	}
	return message, err
}

// wireForms returns the forms of all messages that have a number.
func wireForms(t *testing.T) []storedforms.Form {
	t.Helper()
	var forms []storedforms.Form
	for _, number := range slices.Sorted(maps.Keys(transport.Numbers())) {
		message, found := transport.Prototype(number)
		if !found {
			t.Fatalf("the message number %d has no type", number)
		}
		forms = append(forms, storedforms.Form{
			Name:   fmt.Sprint(number),
			Type:   reflect.TypeOf(message),
			Encode: encodeFrame,
			Decode: decodeFrame,
		})
	}
	return forms
}

// diskForms returns the exported types that are stored on disk. The packages that store
// unexported types have tests of their own for them.
func diskForms() []storedforms.Form {
	return []storedforms.Form{
		{Name: "consensus-durable", Type: reflect.TypeFor[consensus.HardState]()},
		{Name: "control-command", Type: reflect.TypeFor[controller.Command]()},
		{Name: "control-state", Type: reflect.TypeFor[controller.State]()},
		{Name: "control-decision", Type: reflect.TypeFor[controller.ConfigurationDecision]()},
		{Name: "control-tombstone", Type: reflect.TypeFor[controller.Tombstone]()},
		{Name: "member", Type: reflect.TypeFor[membership.Member]()},
		{Name: "placement", Type: reflect.TypeFor[membership.Placement]()},
		{Name: "digest", Type: reflect.TypeFor[config.Digest]()},
		{Name: "request-id", Type: reflect.TypeFor[statemachine.RequestID]()},
	}
}

func TestWireFormsKeepTheirBytes(t *testing.T) {
	storedforms.CheckBytes(t, "wire.txt", wireForms(t))
}

func TestWireFormsKeepTheirLayout(t *testing.T) {
	storedforms.CheckLayout(t, "wire-layout.txt", wireForms(t))
}

func TestWireFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckKeys(t, wireForms(t)) }

func TestDiskFormsKeepTheirBytes(t *testing.T) { storedforms.CheckBytes(t, "disk.txt", diskForms()) }

func TestDiskFormsKeepTheirLayout(t *testing.T) {
	storedforms.CheckLayout(t, "disk-layout.txt", diskForms())
}

func TestDiskFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckKeys(t, diskForms()) }
