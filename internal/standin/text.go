package standin

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Length is how many tokens the answer to a prompt has: all of the maximum,
// unless the prompt starts with "short".
func Length(prompt string, seed int64, maxTokens unit.Tokens) unit.Tokens {
	if maxTokens < 1 {
		maxTokens = 16
	}
	if strings.HasPrefix(prompt, "short") {
		return 1 + unit.Tokens(hash(prompt, seed, 0)%uint64(maxTokens))
	}
	return maxTokens
}

// Word is the text of one token. It depends on nothing but its arguments.
func Word(prompt string, seed int64, i unit.Tokens) string {
	return fmt.Sprintf("w%x ", hash(prompt, seed, i)&0xfff)
}

// Text is the whole answer that an engine gives.
func Text(prompt string, seed int64, maxTokens unit.Tokens) string {
	var b strings.Builder
	for i := range Length(prompt, seed, maxTokens) {
		b.WriteString(Word(prompt, seed, i))
	}
	return b.String()
}

func hash(prompt string, seed int64, i unit.Tokens) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", prompt, seed, i)
	return h.Sum64()
}
