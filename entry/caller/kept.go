package caller

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Limits of the answers that are kept for repeats of their keys.
const (
	maxKeptBytes  = 4 * inventory.Mebibyte
	maxKeptAnswer = 64 * inventory.Kibibyte
)

// keptAnswer is a whole answer to a request with a key.
type keptAnswer struct {
	key claim.Digest
	// request tells requests under one key apart.
	request uint64
	answer  *fasthttp.Response
	size    inventory.Bytes
}

// keptAnswers holds the last answers up to a bound of memory. It is safe for
// concurrent use.
type keptAnswers struct {
	mu    sync.Mutex
	byKey map[claim.Digest]*keptAnswer
	// order has the keys, oldest first.
	order []claim.Digest
	size  inventory.Bytes
}

func newKeptAnswers() *keptAnswers {
	return &keptAnswers{byKey: make(map[claim.Digest]*keptAnswer)}
}

// get returns the answer kept for the key.
func (k *keptAnswers) get(key claim.Digest) (*keptAnswer, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, ok := k.byKey[key]
	return a, ok
}

// put keeps an answer that is small enough and forgets the oldest ones beyond
// the bound.
func (k *keptAnswers) put(key claim.Digest, request uint64, answer *fasthttp.Response) {
	size := inventory.Bytes(len(answer.Body()) + answer.Header.Len()*perHeader)
	if size > maxKeptAnswer {
		return
	}
	kept := &keptAnswer{key: key, request: request, answer: &fasthttp.Response{}, size: size}
	answer.CopyTo(kept.answer)
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.byKey[key]; ok {
		return
	}
	k.byKey[key] = kept
	k.order = append(k.order, key)
	k.size += size
	for k.size > maxKeptBytes {
		oldest := k.order[0]
		k.order = k.order[1:]
		k.size -= k.byKey[oldest].size
		delete(k.byKey, oldest)
	}
}

// perHeader is the memory that one header is thought to need, in bytes.
const perHeader = 64

// fingerprint tells requests under one key apart.
func fingerprint(r *fasthttp.Request) uint64 {
	h := xxhash.New()
	_, _ = h.Write(r.Header.Method())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Header.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Body())
	return h.Sum64()
}
