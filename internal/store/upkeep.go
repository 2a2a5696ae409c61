package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// upkeep founds, watches the disk, and keeps the log short.
func (s *Store) upkeep(ctx context.Context) {
	go timing.Every(ctx, s.d.Bounds.Of(timing.Join), func() { s.founder.try(s.d.Now()) })
	timing.Every(ctx, s.d.Bounds.Of(timing.AnswerTimeout), func() {
		for _, who := range s.d.Membership.Kind("adapter") {
			s.d.Node.Peer(wire.RunLink, who.Addr).Warm()
		}
		isFull := s.disk.IsFull()
		if s.diskFull.Swap(isFull) != isFull {
			klog.Warningf("store: Disk nearly full is now %t; intake follows.", isFull)
		}
		tight := isTight(liveBytes(), s.d.Settings.Memory)
		if s.isTight.Swap(tight) != tight {
			klog.Warningf("store: Memory nearly used up is now %t; intake follows.", tight)
		}
		if s.disk.Segments() > 4 {
			for _, id := range s.disk.Behind(s.groupIds()) {
				s.hostOf(id).Compact()
			}
		}
	})
}

// missing tells all groups that a store's process has ended: nobody listens
// where it was.
func (s *Store) missing(addr string) {
	for _, who := range s.d.Membership.Kind("store") {
		if who.Addr != addr || who.Name == s.d.Who.Name {
			continue
		}
		for _, id := range s.groupIds() {
			s.hostOf(id).Missing(who.Name)
		}
	}
}

// leave goes in order. The store stays a follower, with its disk, until its process ends:
// others go on sending it entries.
func (s *Store) leave(ctx context.Context) {
	departure := NewDeparture(DepartureOptions{Daemon: s.d, Hosts: s.heldHosts, Places: s.ownPlaces})
	for ctx.Err() == nil && !departure.Step() {
		timing.Wait(ctx, s.d.Bounds.Of(timing.StalePoll))
	}
}

func (s *Store) ready() (bool, string) {
	switch {
	case !s.isOpen.Load():
		return false, string(errs.Unfounded)
	case !s.d.IsFresh():
		return false, string(errs.Stale)
	}
	return true, ""
}

// placeOfId reads the place out of a message's id.
func (s *Store) placeOfId(id string) int64 {
	text, _, _ := strings.Cut(id, "-")
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// childId gives a call-back's id: derived from its parent's, so that it is the
// same whoever derives it.
func (s *Store) childId(parent string) string {
	h := fnv.New32a()
	h.Write([]byte(parent))
	_, rest, _ := strings.Cut(parent, "-")
	return fmt.Sprintf("%d-c%s", h.Sum32()%uint32(s.d.Settings.Places), rest)
}
