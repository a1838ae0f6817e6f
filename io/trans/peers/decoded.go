package peers

import (
	"bytes"
	"net/http"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// requestMessages holds the message of each request by its path.
var requestMessages = findRequestMessages()

func findRequestMessages() map[string]protoreflect.MessageDescriptor {
	all := map[string]protoreflect.MessageDescriptor{}
	services := wirepb.File_wire_proto.Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			m := methods.Get(j)
			all["/twirp/"+string(services.Get(i).FullName())+"/"+string(m.Name())] = m.Input()
		}
	}
	return all
}

// jsonValueBytes is the memory that decoding takes for a value of a message in JSON,
// which only other programs send.
const jsonValueBytes = 2048

// DecodedBytes returns the memory that decoding the body of a request takes at most beyond
// copies of it. It returns false if the message is not one that a process of the system sends.
func DecodedBytes(r *http.Request, body []byte) (int64, bool) {
	if strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") {
		values := bytes.Count(body, []byte("{")) + bytes.Count(body, []byte("[")) + bytes.Count(body, []byte(","))
		return jsonValueBytes * int64(values+1), true
	}
	d := requestMessages[r.URL.Path]
	if d == nil {
		return 0, true
	}
	return codec.DecodedBytes(d, body)
}
