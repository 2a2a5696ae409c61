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

// maintain founds, watches the disk, and keeps the log short.
func (s *Store) maintain(ctx context.Context) {
	go timing.Every(ctx, s.d.Bounds.Of(timing.JoinInterval), func() { s.bootstrapper.joinOrBootstrap(s.d.Now()) })
	timing.Every(ctx, s.d.Bounds.Of(timing.AnswerTimeout), func() {
		for _, who := range s.d.Membership.OfKind("adapter") {
			s.d.Node.Peer(wire.RunLink, who.Addr).EnsureConnected()
		}
		isFull := s.disk.IsDiskFull()
		if s.diskFull.Swap(isFull) != isFull {
			klog.Warningf("store: Disk nearly full is now %t; intake follows.", isFull)
		}
		isLow := isMemoryLow(liveHeapBytes(), s.d.Settings.MemoryLimit)
		if s.isMemoryLow.Swap(isLow) != isLow {
			klog.Warningf("store: Memory nearly used up is now %t; intake follows.", isLow)
		}
		if s.disk.Segments() > 4 {
			for _, id := range s.disk.GroupsHoldingSegments(s.groupIds()) {
				s.hostOf(id).Compact()
			}
		}
	})
}

// reportMissingStore tells all groups that a store's process has ended: nobody listens
// where it was.
func (s *Store) reportMissingStore(addr string) {
	for _, who := range s.d.Membership.OfKind("store") {
		if who.Addr != addr || who.Name == s.d.Who.Name {
			continue
		}
		for _, id := range s.groupIds() {
			s.hostOf(id).ReportStoreDown(who.Name)
		}
	}
}

// drain goes in order. The store stays a follower, with its disk, until its process ends:
// others go on sending it entries.
func (s *Store) drain(ctx context.Context) {
	drain := NewDrain(DrainOptions{Daemon: s.d, Hosts: s.heldHosts, Places: s.listPlaces})
	for ctx.Err() == nil && !drain.Step() {
		timing.Wait(ctx, s.d.Bounds.Of(timing.StalePoll))
	}
}

func (s *Store) ready() (bool, string) {
	switch {
	case !s.isOpen.Load():
		return false, string(errs.NotBootstrapped)
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
