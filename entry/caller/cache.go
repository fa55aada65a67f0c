package caller

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Limits of the answer cache.
const (
	maxCacheBytes   = 4 * inventory.Mebibyte
	maxCachedAnswer = 64 * inventory.Kibibyte
)

// cachedAnswer is a complete answer to a request with an idempotency key.
type cachedAnswer struct {
	key claim.Digest
	// fingerprint distinguishes different requests sent with the same key.
	fingerprint uint64
	answer      *fasthttp.Response
	size        inventory.Bytes
}

// answerCache holds the latest answers up to maxCacheBytes, so that a repeated key gets
// the same answer. It is safe for concurrent use.
type answerCache struct {
	mu    sync.Mutex
	byKey map[claim.Digest]*cachedAnswer
	// order has the keys, oldest first.
	order []claim.Digest
	size  inventory.Bytes
}

func newAnswerCache() *answerCache {
	return &answerCache{byKey: make(map[claim.Digest]*cachedAnswer)}
}

// get returns the cached answer for the key.
func (c *answerCache) get(key claim.Digest) (*cachedAnswer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.byKey[key]
	return a, ok
}

// put caches an answer of at most maxCachedAnswer and evicts the oldest answers beyond
// maxCacheBytes. The first answer of a key stays.
func (c *answerCache) put(key claim.Digest, fingerprint uint64, answer *fasthttp.Response) {
	size := inventory.Bytes(len(answer.Body()) + answer.Header.Len()*bytesPerHeader)
	if size > maxCachedAnswer {
		return
	}
	cached := &cachedAnswer{key: key, fingerprint: fingerprint, answer: &fasthttp.Response{}, size: size}
	answer.CopyTo(cached.answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byKey[key]; ok {
		return
	}
	c.byKey[key] = cached
	c.order = append(c.order, key)
	c.size += size
	for c.size > maxCacheBytes {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.size -= c.byKey[oldest].size
		delete(c.byKey, oldest)
	}
}

// bytesPerHeader is the estimated memory of one header, in bytes.
const bytesPerHeader = 64

// requestFingerprint hashes the method, the URI and the body of a request.
func requestFingerprint(r *fasthttp.Request) uint64 {
	h := xxhash.New()
	_, _ = h.Write(r.Header.Method())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Header.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Body())
	return h.Sum64()
}
