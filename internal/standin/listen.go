package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"caperwheel/internal/errs"
)

// reserveNetwork reserves a 127.x loopback network and a port range that no other site uses.
func (s *Site) reserveNetwork() error {
	for range 200 {
		s.net, s.port = 1+rand.IntN(250), 12000+20*rand.IntN(900)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", s.net, reservationPort))
		if err == nil {
			s.reservation = listener
			return nil
		}
	}
	return errs.New(errs.Internal, "cannot reserve a loopback network: none of 200 random ones is free")
}

// serve starts an HTTP server at an address, with at most maxConns connections; 0 means no maximum.
func (s *Site) serve(addr string, h http.Handler, maxConns int) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "listen on %s", addr)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(&limitedListener{Listener: listener, maxOpen: int64(maxConns)}) }()
	return nil
}
