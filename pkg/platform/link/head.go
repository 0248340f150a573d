package link

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// ErrNotValid means that a receiver sent something that is no answer in the protocol.
var ErrNotValid = errors.New("answer is not valid")

const (
	// httpMajor is the version of the protocol that is spoken here.
	httpMajor = 1
	// minStatus and maxStatus bound the status of a final answer. An interim answer is
	// none: no request here asks for another protocol.
	minStatus, maxStatus = 200, 599
)

// checkHead checks what the transport lets pass. A field whose name holds a blank is one
// that it did not understand: it may have told where the body ends.
func checkHead(res *http.Response) error {
	if res.ProtoMajor != httpMajor {
		return fmt.Errorf("%w: protocol %.20q", ErrNotValid, res.Proto)
	}
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %d", ErrNotValid, res.StatusCode)
	}
	for name, values := range res.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name of a field is %.40q", ErrNotValid, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: value of field %.40q", ErrNotValid, name)
			}
		}
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection tells where the body
// of an answer ends.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && res.Body != http.NoBody && !slices.Contains(res.TransferEncoding, "chunked")
}
