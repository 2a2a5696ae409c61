package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// benchCommand holds the arguments of bench, which measures the transport alone, between two processes, with messages
// of 46 bytes, over a grid of batch and pool sizes; size and grid are those of the source.
type benchCommand struct {
	For     time.Duration `arg:"--for" default:"1s" help:"how long each cell of the grid is measured"`
	Rounds  int           `arg:"--rounds" default:"3" help:"rounds over the whole grid, interleaved"`
	Batches []int         `arg:"--batches" help:"batch sizes"`
	Pools   []int         `arg:"--pools" help:"pool sizes"`
	Serve   bool          `arg:"--serve" help:"be the receiving process (internal)"`
	Pool    int           `arg:"--pool" default:"40" help:"pool of the receiving process (internal)"`
}

// benchMessageId is a message id with which an encoded Look has 46 bytes, correlation number included.
const benchMessageId = "0123456789012345678901234567890123456789"

// bench measures each cell of the grid in each round and prints the median, least and greatest rate of each.
func bench(a *benchCommand) error {
	if a.Serve {
		return serveBench(a.Pool)
	}
	if len(a.Batches) == 0 {
		a.Batches = []int{1, 10, 40, 100}
	}
	if len(a.Pools) == 0 {
		a.Pools = []int{1, 8, 40}
	}
	rates := map[[2]int][]float64{}
	for range a.Rounds {
		for _, batch := range a.Batches {
			for _, pool := range a.Pools {
				rate, err := measureCell(batch, pool, a.For)
				if err != nil {
					return err
				}
				rates[[2]int{batch, pool}] = append(rates[[2]int{batch, pool}], rate)
			}
		}
	}
	fmt.Printf("%8s %8s %14s %14s %14s\n", "batch", "pool", "median msg/s", "least", "most")
	for _, batch := range a.Batches {
		for _, pool := range a.Pools {
			r := rates[[2]int{batch, pool}]
			slices.Sort(r)
			fmt.Printf("%8d %8d %14.0f %14.0f %14.0f\n", batch, pool, r[len(r)/2], r[0], r[len(r)-1])
		}
	}
	return nil
}

// serveBench is the receiving process. It prints its address and discards messages until standard input is closed; it
// answers only a Look that requests the body.
func serveBench(pool int) error {
	node, err := transport.NewNode(transport.Options{Listen: "127.0.0.1:0", Pool: pool, Window: 1 << 16,
		Handlers: map[string]transport.Handler{"place": func(_ wire.Who, body any, answer func(any)) {
			if look, isLook := body.(*wire.Look); isLook && look.Body {
				answer(&wire.OutcomeAck{})
			}
		}}})
	if err != nil {
		return err
	}
	fmt.Println(node.Addr())
	go node.Serve()
	_, _ = os.Stdin.Read(make([]byte, 1)) // returns when the sending process closes the pipe
	return nil
}

// measureCell starts a receiving process, sends to it for a time and returns the messages a second, up to the answer
// to a last message that follows all others.
func measureCell(batch, pool int, length time.Duration) (float64, error) {
	exe, err := os.Executable()
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "find this program's executable")
	}
	cmd := exec.Command(exe, "bench", "--serve", "--pool", strconv.Itoa(pool))
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		return 0, errs.Wrap(err, errs.Internal, "start the receiving process")
	}
	defer func() { in.Close(); _ = cmd.Wait() }()
	raw := make([]byte, 64)
	n, err := out.Read(raw)
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "read the receiving process's address")
	}
	node, err := transport.NewNode(transport.Options{Batch: batch, Pool: pool, Window: 1 << 16})
	if err != nil {
		return 0, err
	}
	defer node.Close()
	peer := node.Peer(wire.PlaceLink, strings.TrimSpace(string(raw[:n])))
	done := make(chan struct{})
	for peer.Post(&wire.Look{Id: benchMessageId}, nil) != nil {
		time.Sleep(time.Millisecond)
	}
	sent, began := 0, time.Now()
	for time.Since(began) < length {
		for range 64 {
			if peer.Post(&wire.Look{Id: benchMessageId}, nil) == nil {
				sent++
			} else {
				time.Sleep(20 * time.Microsecond) // the send window is full
			}
		}
	}
	for peer.Post(&wire.Look{Id: benchMessageId, Body: true}, func(any, error) { close(done) }) != nil {
		time.Sleep(100 * time.Microsecond)
	}
	<-done
	return float64(sent) / time.Since(began).Seconds(), nil
}
