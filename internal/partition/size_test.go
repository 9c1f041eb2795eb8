// What the words about one message weigh besides its data: between zones
// bytes cost more than anything else.
package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

func TestWordsAboutAMessageAreShort(t *testing.T) {
	record := Record{Offset: 1234, Epoch: 45, Topic: "kafi810.2f", Sender: "u1fx3a9c", Seq: 77, Data: make([]byte, 200), At: began, Prior: 1200}
	told := answered("+~0/17", record)
	ages := takeAges(began, []Record{record})
	record.At = time.Time{}
	for _, each := range []struct {
		message any
		most    int
	}{
		{Append{Partition: "+~0/17", Request: 123456, Topic: record.Topic, Sender: record.Sender, Seq: 77, Data: record.Data}, 250},
		{AppendResponse{Partition: "+~0/17", Request: 123456, Outcome: Accepted, Epoch: 45, Record: told}, 46},
		{Copy{Partition: "+~0/17", Epoch: 45, After: 1233, AfterEpoch: 45, Records: []Record{record}, Ages: ages}, 263},
		{CopyResponse{Partition: "+~0/17", Epoch: 45, Have: 1234, HaveEpoch: 45, Holder: 1 << 31, Took: 12}, 31},
		{Heads{Heads: []Head{{Partition: "+~0/17", Epoch: 45, Offset: 1234, From: 1200, Topics: []TopicHead{{Topic: 1 << 63, Offset: 1234}}}}}, 40},
	} {
		frame, err := transport.Encode(statemachine.Meta{Version: 3}, each.message)
		assert.NilError(t, err)
		assert.Assert(t, len(frame) <= each.most, "%T has %d bytes", each.message, len(frame))
	}
}
