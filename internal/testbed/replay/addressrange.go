package replay

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"seamloom.example/seamloom/internal/failure"
)

// ports are alike on all machines of a day.
type ports struct {
	front, ready, control, list, server string
	free                                []int
}

// addressRange is a range of loopback addresses that one day has for itself: each machine and
// server has its own.
type addressRange struct {
	prefix   string
	next     atomic.Int32
	reserved net.Listener
}

// takeAddresses finds a range that no other day on this computer has taken.
func takeAddresses() (*addressRange, ports, error) {
	for range 200 {
		first := 20_000 + rand.IntN(100)*100
		chosen := ports{front: strconv.Itoa(first), ready: strconv.Itoa(first + 1), control: strconv.Itoa(first + 2), list: strconv.Itoa(first + 3), server: strconv.Itoa(first + 4), free: []int{first + 20, first + 35}}
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		reserved, err := net.Listen("tcp", prefix+"250:19999")
		if err != nil {
			continue
		}
		return &addressRange{prefix: prefix, reserved: reserved}, chosen, nil
	}
	return nil, ports{}, failure.New(failure.Busy, "no free range of loopback addresses")
}

// address gives the next address of the range.
func (a *addressRange) address() string {
	return a.prefix + strconv.Itoa(int(a.next.Add(1)))
}
