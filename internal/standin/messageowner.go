package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// noOperationKeyEvery: one message in so many has no operation key.
const noOperationKeyEvery = 20

// assignOwner draws the tenant of a message, and the operation key and body that all its submissions share.
func (s *Site) assignOwner(m *Message, rng *rand.Rand) {
	if m.hasOwner || len(s.plan.Customers) == 0 {
		return
	}
	m.hasOwner, m.firstSentAt = true, s.Now()
	if !m.IsPublic && m.Tenant == "" {
		m.Tenant = drawCustomer(s.plan.Customers, rng).Name
	}
	if rng.IntN(noOperationKeyEvery) > 0 {
		m.Operation = fmt.Sprintf("op%d-%x", lastSubmission.Add(1), rng.Uint64())
		m.body = m.drawBody(m.Operation, rng)
	}
}

// drawBody draws the body of a message, which contains its name.
func (m Message) drawBody(name string, rng *rand.Rand) []byte {
	return []byte(m.BodyPrefix + " of " + name + strings.Repeat(".", m.Size/2+rng.IntN(m.Size+1)))
}

// drawCustomer draws a tenant in proportion to its share of the messages.
func drawCustomer(list []Customer, rng *rand.Rand) Customer {
	at := rng.Float64()
	for _, c := range list {
		if at -= c.MessageShare; at < 0 {
			return c
		}
	}
	return list[len(list)-1]
}

// roamingInterval is how long clients of a roaming tenant use one front.
const roamingInterval = 3 * time.Second

// chooseClient chooses the client that submits a message. A roaming tenant uses one client at a time.
func (s *Site) chooseClient(m Message, clients []*Client, rng *rand.Rand) *Client {
	for i, c := range s.plan.Customers {
		if c.Name == m.Tenant && c.IsRoaming {
			return clients[(i+int(s.Now()/roamingInterval))%len(clients)]
		}
	}
	return clients[rng.IntN(len(clients))]
}
