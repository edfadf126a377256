package atmostonce_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
)

const account = "a1"

// clock is a monotonic clock that tests advance.
type clock struct{ now atomic.Int64 }

func (c *clock) Now() time.Duration      { return time.Duration(c.now.Load()) }
func (c *clock) Advance(d time.Duration) { c.now.Add(int64(d)) }

func newRegistry(c atmostonce.Config) (*atmostonce.Registry, *clock) {
	clock := &clock{}
	c.Node, c.Incarnation, c.Now = "n1", 1, clock.Now
	return atmostonce.New(c), clock
}

// answer returns the work of a run that writes the given text.
func answer(text string) func(context.Context, http.ResponseWriter) (atmostonce.State, error) {
	return func(_ context.Context, w http.ResponseWriter) (atmostonce.State, error) {
		_, _ = w.Write([]byte(text))
		return atmostonce.Done, nil
	}
}

func read(t *testing.T, r *atmostonce.Record) string {
	t.Helper()
	w := httptest.NewRecorder()
	d, err := r.Join()
	require.NoError(t, err)
	_, err = d.Copy(t.Context(), w)
	require.NoError(t, err)
	return w.Body.String()
}

// Guards against a request that runs twice (a renewal letter that goes out twice) because
// copies of it redeem the same ticket concurrently.
func TestConcurrentRedeemsRunOnce(t *testing.T) {
	r, _ := newRegistry(atmostonce.Config{})
	minted, err := r.Mint(account)
	require.NoError(t, err)
	var runs atomic.Int32
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			record, first, err := r.Redeem(minted, account, atmostonce.Print{1})
			if err != nil {
				t.Error(err)
				return
			}
			if first {
				runs.Add(1)
				record.Run(t.Context(), answer("letter"))
			}
			d, err := record.Join()
			w := httptest.NewRecorder()
			_, copied := d.Copy(t.Context(), w)
			if err = errors.Join(err, copied); err != nil || w.Body.String() != "letter" {
				t.Error(err, w.Body.String())
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, 1, runs.Load())
	require.Equal(t, atmostonce.Done, r.State(minted, account))
}

// Guards against an answer that goes to another request of the caller, or to another
// account.
func TestTicketIsBoundToAccountAndRequest(t *testing.T) {
	r, _ := newRegistry(atmostonce.Config{})
	minted, err := r.Mint(account)
	require.NoError(t, err)
	_, _, err = r.Redeem(minted, "a2", atmostonce.Print{1})
	require.ErrorIs(t, err, atmostonce.ErrUnknown)
	require.Equal(t, atmostonce.Unknown, r.State(minted, "a2"))
	require.ErrorIs(t, r.Void(minted, "a2"), atmostonce.ErrUnknown)
	record, first, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	require.True(t, first)
	record.Run(t.Context(), answer("mine"))
	_, _, err = r.Redeem(minted, account, atmostonce.Print{2})
	require.ErrorIs(t, err, atmostonce.ErrOther)
	require.NoError(t, r.Wait(t.Context()))
}

// Guards against a request that runs although its caller was told that it had not run and
// would not.
func TestVoidTicketNeverRuns(t *testing.T) {
	r, clock := newRegistry(atmostonce.Config{})
	minted, err := r.Mint(account)
	require.NoError(t, err)
	require.Equal(t, atmostonce.Unused, r.State(minted, account))
	require.NoError(t, r.Void(minted, account))
	require.NoError(t, r.Void(minted, account), "voiding is idempotent")
	for range 40 {
		_, _, err = r.Redeem(minted, account, atmostonce.Print{1})
		require.Error(t, err)
		clock.Advance(time.Minute)
	}
}

// Guards against a late copy of a request that runs again after the record of the first run
// has been dropped.
func TestUsedTicketNeverRunsAgain(t *testing.T) {
	r, clock := newRegistry(atmostonce.Config{Records: 1, Memory: 8, Answer: 4})
	minted, err := r.Mint(account)
	require.NoError(t, err)
	record, _, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	record.Run(t.Context(), answer("letter"))
	require.NoError(t, r.Wait(t.Context()))
	for range 300 {
		clock.Advance(7 * time.Second)
		_, first, err := r.Redeem(minted, account, atmostonce.Print{1})
		require.False(t, first && err == nil)
	}
	require.Equal(t, atmostonce.Unknown, r.State(minted, account))
	require.Zero(t, r.Stats().Blocks, "used serials must be dropped in the end")
}

// Guards against an old request that runs again after a restart of its node.
func TestRestartInvalidatesTickets(t *testing.T) {
	before, _ := newRegistry(atmostonce.Config{})
	minted, err := before.Mint(account)
	require.NoError(t, err)
	after, _ := newRegistry(atmostonce.Config{})
	_, _, err = after.Redeem(minted, account, atmostonce.Print{1})
	require.ErrorIs(t, err, atmostonce.ErrUnknown)
	require.Equal(t, atmostonce.Unknown, after.State(minted, account))
}

// Guards against tickets that never expire or expire at once.
func TestExpiryFollowsTheMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := atmostonce.New(atmostonce.Config{Node: "n1", Incarnation: 1})
		minted, err := r.Mint(account)
		require.NoError(t, err)
		require.Equal(t, atmostonce.DefaultLife, minted.Expires)
		time.Sleep(atmostonce.DefaultLife - time.Second)
		require.Equal(t, atmostonce.Unused, r.State(minted, account))
		time.Sleep(2 * time.Second)
		require.Equal(t, atmostonce.Void, r.State(minted, account))
		_, _, err = r.Redeem(minted, account, atmostonce.Print{1})
		require.ErrorIs(t, err, atmostonce.ErrVoid)
		time.Sleep(atmostonce.DefaultKeep)
		require.Equal(t, atmostonce.Unknown, r.State(minted, account))
	})
}

// Guards against a caller that reconnects and gets only a part of the answer, or none.
func TestReconnectedCallerReadsWholeAnswer(t *testing.T) {
	r, _ := newRegistry(atmostonce.Config{})
	minted, err := r.Mint(account)
	require.NoError(t, err)
	record, _, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	started, finish := make(chan struct{}), make(chan struct{})
	record.Run(t.Context(), func(_ context.Context, w http.ResponseWriter) (atmostonce.State, error) {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte("first "))
		close(started)
		<-finish
		_, _ = w.Write([]byte("second"))
		return atmostonce.Done, nil
	})
	<-started
	require.Equal(t, atmostonce.Running, r.State(minted, account))
	require.ErrorIs(t, r.Void(minted, account), atmostonce.ErrRunning)
	again, first, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	require.False(t, first)
	close(finish)
	require.Equal(t, "first second", read(t, again))
	kept, _, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	require.Equal(t, "first second", read(t, kept))
}

// Guards against a registry that grows with the number of minted tickets or stored answers.
func TestMemoryIsBounded(t *testing.T) {
	r, _ := newRegistry(atmostonce.Config{Memory: 1000, Answer: 400, Records: 100, Blocks: 2})
	for range 50 {
		minted, err := r.Mint(account)
		require.NoError(t, err)
		record, _, err := r.Redeem(minted, account, atmostonce.Print{1})
		require.NoError(t, err)
		record.Run(t.Context(), answer(string(make([]byte, 300))))
		require.NoError(t, r.Wait(t.Context()))
		require.LessOrEqual(t, r.Stats().Bytes, 1000)
	}
	for range 3000 {
		_, err := r.Mint(account)
		require.NoError(t, err)
	}
	require.Equal(t, 1, r.Stats().Blocks, "minted tickets take no memory")
}

// Guards against a used ticket that runs again because a full registry forgot it.
func TestFullRegistryRejectsNewTickets(t *testing.T) {
	r, _ := newRegistry(atmostonce.Config{Blocks: 1})
	early, err := r.Mint(account)
	require.NoError(t, err)
	require.NoError(t, r.Void(early, account))
	for range 1100 {
		_, err := r.Mint(account)
		require.NoError(t, err)
	}
	late, err := r.Mint(account)
	require.NoError(t, err)
	_, _, err = r.Redeem(late, account, atmostonce.Print{1})
	require.ErrorIs(t, err, atmostonce.ErrFull)
	require.Equal(t, atmostonce.Unused, r.State(late, account))
	_, _, err = r.Redeem(early, account, atmostonce.Print{1})
	require.ErrorIs(t, err, atmostonce.ErrVoid)
}

// Guards against a node whose memory grows without bound while long answers are running.
func TestLargeAnswerIsNotStored(t *testing.T) {
	r, _ := newRegistry(atmostonce.Config{Answer: 64 << 10})
	minted, err := r.Mint(account)
	require.NoError(t, err)
	record, _, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	d, err := record.Join()
	require.NoError(t, err)
	text := string(make([]byte, 1<<20))
	record.Run(t.Context(), answer(text))
	w := httptest.NewRecorder()
	_, err = d.Copy(t.Context(), w)
	require.NoError(t, err)
	require.Len(t, w.Body.String(), len(text))
	require.LessOrEqual(t, r.Stats().Bytes, 64<<10)
	again, first, err := r.Redeem(minted, account, atmostonce.Print{1})
	require.NoError(t, err)
	require.False(t, first)
	_, err = again.Join()
	require.ErrorIs(t, err, atmostonce.ErrGone)
}
