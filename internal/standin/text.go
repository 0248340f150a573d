package standin

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// AnswerLength is the number of tokens in the answer to a prompt: maxTokens, or
// 16 if maxTokens is below 1. If the prompt starts with "short", the answer has a
// pseudo-random number of tokens instead, from 1 to that number.
func AnswerLength(prompt string, seed int64, maxTokens unit.Tokens) unit.Tokens {
	if maxTokens < 1 {
		maxTokens = 16
	}
	if strings.HasPrefix(prompt, "short") {
		return 1 + unit.Tokens(hash(prompt, seed, 0)%uint64(maxTokens))
	}
	return maxTokens
}

// TokenText is the text of token i of an answer. It is a pure function of its
// arguments, so that tests can compute the expected answer.
func TokenText(prompt string, seed int64, i unit.Tokens) string {
	return fmt.Sprintf("w%x ", hash(prompt, seed, i)&0xfff)
}

// Text is the complete answer that an engine gives to a prompt.
func Text(prompt string, seed int64, maxTokens unit.Tokens) string {
	var b strings.Builder
	for i := range AnswerLength(prompt, seed, maxTokens) {
		b.WriteString(TokenText(prompt, seed, i))
	}
	return b.String()
}

func hash(prompt string, seed int64, i unit.Tokens) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", prompt, seed, i)
	return h.Sum64()
}
