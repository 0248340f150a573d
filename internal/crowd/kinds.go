package crowd

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// longHead is the length of a head that is held open, in bytes.
	longHead = 900_000
	// slowPause is the time between the bytes of a slow head.
	slowPause = 200 * time.Millisecond
	// longBody is the length of a body as declared, in bytes.
	longBody = 33_000_000
	// pieceBytes is the length of a text that is sent again and again, in bytes.
	pieceBytes = 4096
	// fullHeadBytes and largeHeadBytes are the lengths of whole heads, in bytes: one that
	// the usual configurations allow, and one beyond.
	fullHeadBytes  = 16_000
	largeHeadBytes = 64_000
)

// Kind is a way in which a client does not behave.
type Kind struct {
	Name string
	// play plays one connection until it ends.
	play func(*client) error
}

// Kinds are all kinds, by name.
var Kinds = byName(
	Kind{"field without end", playLongField},
	Kind{"fields without end", playManyFields},
	Kind{"path without end", playLongPath},
	Kind{"noise", playNoise},
	Kind{"held head", playHeldHead},
	Kind{"full heads", func(c *client) error { return playHeads(c, fullHeadBytes) }},
	Kind{"large heads", func(c *client) error { return playHeads(c, largeHeadBytes) }},
	Kind{"full heads, held", playHeldRequests},
	Kind{"slow head", playSlowHead},
	Kind{"silence", (*client).hold},
	Kind{"empty lines", playEmptyLines},
	Kind{"empty lines after a post", playEmptyLinesAfterPost},
	Kind{"chunks without end", playChunks},
	Kind{"chunk extensions", playChunkExtensions},
	Kind{"trailers", playTrailers},
	Kind{"declared body", playDeclaredBody},
	Kind{"held body", playHeldBody},
	Kind{"slow chunks", playSlowChunks},
	Kind{"expect", playExpect},
	Kind{"pipeline", playPipeline},
	Kind{"unread answers", playUnreadAnswers},
	Kind{"upgrade", playUpgrade},
	Kind{"preface", playPreface},
	Kind{"hello", playHello},
	Kind{"many requests", playRequests},
)

// byName returns kinds by their names.
func byName(kinds ...Kind) map[string]Kind {
	out := make(map[string]Kind, len(kinds))
	for _, k := range kinds {
		out[k.Name] = k
	}
	return out
}

// playLongField sends a head with one field that does not end.
func playLongField(c *client) error {
	if err := c.head(http.MethodGet); err != nil {
		return err
	}
	if err := c.say("X-Long: "); err != nil {
		return err
	}
	return c.repeat(bytes.Repeat([]byte("a"), pieceBytes))
}

// shortFields returns different short fields of about n bytes in all.
func shortFields(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		b.WriteString(string([]byte{'A' + byte(i%26), 'a' + byte(i/26%26), 'a' + byte(i/676%26)}))
		b.WriteString(":\r\n")
	}
	return b.Bytes()
}

// playManyFields sends a head of short fields that does not end.
func playManyFields(c *client) error {
	if err := c.head(http.MethodGet); err != nil {
		return err
	}
	return c.repeat(shortFields(longHead / 10))
}

// playLongPath sends a request line that does not end.
func playLongPath(c *client) error {
	if err := c.say("GET %s", c.Path); err != nil {
		return err
	}
	return c.repeat(bytes.Repeat([]byte("a"), pieceBytes))
}

// playNoise sends bytes that are no head, without a line end.
func playNoise(c *client) error {
	return c.repeat(bytes.Repeat([]byte{0x16, 0x80, 0xff, 'z'}, pieceBytes/4))
}

// playHeldHead sends a long head, does not end it and stays.
func playHeldHead(c *client) error {
	if err := c.head(http.MethodGet); err != nil {
		return err
	}
	if _, err := c.Write(shortFields(longHead)); err != nil {
		return err
	}
	return c.hold()
}

// playHeads sends whole requests with heads of n bytes and reads the answers.
func playHeads(c *client, n int) error {
	fields := shortFields(n)
	for {
		if err := c.head(http.MethodGet); err != nil {
			return err
		}
		if _, err := c.Write(append(fields, "\r\n"...)); err != nil {
			return err
		}
		if err := c.readAnswer(); err != nil {
			return err
		}
	}
}

// playHeldRequests sends a request with a long head whose body does not come.
func playHeldRequests(c *client) error {
	if err := c.head(http.MethodPost); err != nil {
		return err
	}
	if _, err := c.Write(shortFields(fullHeadBytes)); err != nil {
		return err
	}
	if err := c.say("Content-Length: 1000\r\n\r\n"); err != nil {
		return err
	}
	return c.hold()
}

// playSlowHead sends a head byte by byte.
func playSlowHead(c *client) error {
	for _, b := range []byte("GET " + c.Path + " HTTP/1.1\r\nHost: " + c.Host + "\r\nX-Slow: " + strings.Repeat("a", pieceBytes)) {
		if _, err := c.Write([]byte{b}); err != nil {
			return err
		}
		sleep(c.ctx, slowPause)
	}
	return nil
}

// playEmptyLines sends empty lines in place of a request.
func playEmptyLines(c *client) error {
	return c.repeat(bytes.Repeat([]byte("\r\n"), pieceBytes/2))
}

// playEmptyLinesAfterPost sends a whole request, and then empty lines.
func playEmptyLinesAfterPost(c *client) error {
	if err := c.head(http.MethodPost); err != nil {
		return err
	}
	if err := c.say("Content-Length: 2\r\n\r\nok"); err != nil {
		return err
	}
	return playEmptyLines(c)
}

// playChunks sends a body in chunks that does not end.
func playChunks(c *client) error {
	if err := c.chunkedHead(); err != nil {
		return err
	}
	return c.repeat([]byte("1000\r\n" + strings.Repeat("a", 0x1000) + "\r\n"))
}

// chunkedHead sends the head of a request whose body comes in chunks.
func (c *client) chunkedHead() error {
	if err := c.head(http.MethodPost); err != nil {
		return err
	}
	return c.say("Transfer-Encoding: chunked\r\n\r\n")
}

// playChunkExtensions sends a chunk whose extension does not end.
func playChunkExtensions(c *client) error {
	if err := c.chunkedHead(); err != nil {
		return err
	}
	if err := c.say("1;x="); err != nil {
		return err
	}
	return c.repeat(bytes.Repeat([]byte("a"), pieceBytes))
}

// playTrailers sends a body whose trailers do not end.
func playTrailers(c *client) error {
	if err := c.chunkedHead(); err != nil {
		return err
	}
	if err := c.say("0\r\n"); err != nil {
		return err
	}
	return c.repeat(shortFields(pieceBytes))
}

// playDeclaredBody declares a long body and sends nothing of it.
func playDeclaredBody(c *client) error {
	if err := c.declare(); err != nil {
		return err
	}
	return c.hold()
}

// declare sends the head of a request with a long body.
func (c *client) declare() error {
	if err := c.head(http.MethodPost); err != nil {
		return err
	}
	return c.say("Content-Length: %d\r\n\r\n", longBody)
}

// playHeldBody sends a long body without its last byte, and stays.
func playHeldBody(c *client) error {
	if err := c.declare(); err != nil {
		return err
	}
	piece := bytes.Repeat([]byte("a"), pieceBytes)
	for left := longBody - 1; left > 0; left -= len(piece) {
		if _, err := c.Write(piece[:min(left, len(piece))]); err != nil {
			return err
		}
	}
	return c.hold()
}

// playSlowChunks sends a body in small chunks, a few a second.
func playSlowChunks(c *client) error {
	if err := c.chunkedHead(); err != nil {
		return err
	}
	for c.ctx.Err() == nil {
		if err := c.say("1\r\na\r\n"); err != nil {
			return err
		}
		sleep(c.ctx, slowPause)
	}
	return nil
}

// playExpect asks whether a long body is wanted, and sends none.
func playExpect(c *client) error {
	if err := c.head(http.MethodPost); err != nil {
		return err
	}
	if err := c.say("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", longBody); err != nil {
		return err
	}
	return c.hold()
}

// playPipeline sends requests one after the other and reads no answer.
func playPipeline(c *client) error {
	for {
		if err := c.head(http.MethodGet); err != nil {
			return err
		}
		if err := c.say("\r\n"); err != nil {
			return err
		}
	}
}

// playUnreadAnswers sends some requests, and reads nothing of the answers.
func playUnreadAnswers(c *client) error {
	for range 64 {
		if err := c.head(http.MethodGet); err != nil {
			return err
		}
		if err := c.say("\r\n"); err != nil {
			return err
		}
	}
	<-c.ctx.Done()
	return c.ctx.Err()
}

// playUpgrade asks for another protocol and speaks it at once.
func playUpgrade(c *client) error {
	if err := c.head(http.MethodGet); err != nil {
		return err
	}
	if err := c.say("Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"); err != nil {
		return err
	}
	return playNoise(c)
}

// playPreface begins HTTP/2, and sends frames that declare long headers.
func playPreface(c *client) error {
	if err := c.say("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"); err != nil {
		return err
	}
	return c.repeat(append([]byte{0xff, 0xff, 0xff, 1, 0, 0, 0, 0, 1}, bytes.Repeat([]byte{0x40}, pieceBytes)...))
}

// playHello begins TLS with a long record.
func playHello(c *client) error {
	if err := c.say("\x16\x03\x01\x40\x00\x01\x00\x3f\xfc"); err != nil {
		return err
	}
	return playNoise(c)
}

// playRequests sends requests one after the other and reads the answers.
func playRequests(c *client) error {
	for {
		if err := c.head(http.MethodGet); err != nil {
			return err
		}
		if err := c.say("\r\n"); err != nil {
			return err
		}
		if err := c.readAnswer(); err != nil {
			return err
		}
	}
}

// readAnswer reads one answer to its end.
func (c *client) readAnswer() error {
	res, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
