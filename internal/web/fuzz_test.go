package web

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"caperwheel/internal/errs"
)

// FuzzReply guards against replies of a worker that are neither read to their end nor rejected with a known
// error kind.
func FuzzReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nwell"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))
	f.Add([]byte("HTTP/1.0 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	client := NewClient(ClientOptions{DialTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdlePerAddress: 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		go answerWith(listener, raw)
		r, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := client.Send(r, SendOptions{MaxBodyBytes: 3, WantsChecksum: true})
		if err != nil {
			if kind := errs.KindOf(err); kind != errs.Lost && kind != errs.Truncated {
				t.Fatalf("%q: %v", raw, err)
			}
			return
		}
		if reply.HasWholeBody() != (reply.Size <= 3) || len(reply.Checksum) != 64 || reply.StatusCode < 200 {
			t.Fatalf("%q gives %d of %d bytes, status %d", raw, len(reply.Bytes), reply.Size, reply.StatusCode)
		}
	})
}

// answerWith answers the next request with raw bytes.
func answerWith(listener net.Listener, raw []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.Copy(conn, bytes.NewReader(raw))
	}
}
