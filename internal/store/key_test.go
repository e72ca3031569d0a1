package store_test

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/store"
)

// specialIDs are ids that a caller may choose and that paths, queries or prefixes treat specially.
var specialIDs = []string{
	"", ".", "..", "...", "/", "a/b", "a//b", "a/../b", "%", "%2F", "%2f", "a%20b", "a b", " ", "?", "a?b=c", "#", "a#b", "~", "~2F", "~~", "+",
	"a&b", "a;b", "é", "日本", "\x00", "\n", "\xff\xfe", "a:b", "*", "\\", "\"", "a", "a.", "A",
}

var _ = Describe("keys", func() {
	// Guards against two ids that share a key or a prefix because a client, proxy or mux rewrites the path.
	It("keep any two ids apart over a real connection, also behind a mux that cleans paths", func(ctx SpecContext) {
		mux := http.NewServeMux()
		mux.Handle("/", fakekv.New())
		server := httptest.NewServer(mux)
		defer server.Close()
		client, closeClient := store.New(server.URL, nil)
		defer closeClient()
		for _, id := range specialIDs {
			_, err := client.Put(ctx, store.Key("claim", id, id), []byte("value of "+id), 0, 0)
			Expect(err).NotTo(HaveOccurred(), "id %q", id)
		}
		for _, id := range specialIDs {
			entry, err := client.Get(ctx, store.Key("claim", id, id), 0)
			Expect(err).NotTo(HaveOccurred(), "id %q", id)
			Expect(string(entry.Value)).To(Equal("value of " + id))
			Expect(entry.Key).To(Equal(store.Key("claim", id, id)))
			listing, err := client.List(ctx, store.Prefix("claim", id))
			Expect(err).NotTo(HaveOccurred())
			Expect(listing.Entries).To(HaveLen(1), "prefix of id %q", id)
			Expect(client.Delete(ctx, entry.Key, entry.Version)).To(Succeed())
		}
	})

	// Guards against a key that yields other parts, and against two texts that yield the same parts.
	It("split into the parts that made them, and no other text splits", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			part := rapid.OneOf(rapid.SampledFrom(specialIDs), rapid.String())
			parts := rapid.SliceOfN(part, 1, 4).Draw(t, "parts")
			Expect(store.Parts(store.Key(parts...))).To(Equal(parts))
		})
		for _, key := range []string{"", "a", "/a b", "/~2", "/~2f", "/~41", "/.a", "//"} {
			_, err := store.Parts(key)
			Expect(err).To(BeAssignableToTypeOf(&store.KeyError{}), "key %q", key)
		}
	})
})
