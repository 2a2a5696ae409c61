package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// unkeyed: one message in so many has no operation key.
const unkeyed = 20

// own draws whose a message is, and the operation key that all its tries carry, with the same bytes.
func (s *Site) own(m *Message, draws *rand.Rand) {
	if m.isOwned || len(s.plan.Customers) == 0 {
		return
	}
	m.isOwned, m.first = true, s.Now()
	if !m.IsPublic && m.Tenant == "" {
		m.Tenant = drawCustomer(s.plan.Customers, draws).Name
	}
	if draws.IntN(unkeyed) > 0 {
		m.Operation = fmt.Sprintf("op%d-%x", sends.Add(1), draws.Uint64())
		m.body = m.draw(m.Operation, draws)
	}
}

// draw draws the bytes of a message, which name it.
func (m Message) draw(name string, draws *rand.Rand) []byte {
	return []byte(m.Words + " of " + name + strings.Repeat(".", m.Size/2+draws.IntN(m.Size+1)))
}

func drawCustomer(list []Customer, draws *rand.Rand) Customer {
	at := draws.Float64()
	for _, c := range list {
		if at -= c.Share; at < 0 {
			return c
		}
	}
	return list[len(list)-1]
}

// roverSpan is how long a rover's clients stay with one front.
const roverSpan = 3 * time.Second

// senderOf chooses the client that sends a message.
func (s *Site) senderOf(m Message, clients []*Client, draws *rand.Rand) *Client {
	for i, c := range s.plan.Customers {
		if c.Name == m.Tenant && c.IsRover {
			return clients[(i+int(s.Now()/roverSpan))%len(clients)]
		}
	}
	return clients[draws.IntN(len(clients))]
}
