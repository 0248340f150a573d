package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/internal/standin"
)

const (
	// liveInterval is the pause between two requests.
	liveInterval = 40 * time.Millisecond
	// liveTokens is the length of an answer.
	liveTokens = 12
)

// liveCounts holds the number of answers and tokens that the live service
// received, and of its requests that failed or got a wrong answer.
type liveCounts struct {
	answers, wrong int
	tokens         int64
}

// runLive sends one request after another, to each instance in turn, until ctx
// ends. It doesn't cancel the request in flight then, so that the count of
// delivered tokens is exact.
func (f *fleet) runLive(ctx context.Context, key string) liveCounts {
	var n liveCounts
	for i := 0; ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("which tide suits family %d?", i)
		text, tokens, err := complete(f.Instances[i%len(f.Instances)].Address, key, prompt)
		if err == nil {
			n.answers++
			n.tokens += tokens
		}
		if err != nil || text != standin.Text(prompt, 0, liveTokens) {
			n.wrong++
		}
		time.Sleep(liveInterval)
	}
	return n
}

// complete requests a chat completion. It returns the text and the number of
// tokens, or an error if the status is not 200 or there isn't exactly one choice.
func complete(address, key, prompt string) (string, int64, error) {
	body, err := json.Marshal(map[string]any{
		"model": "draft", "max_tokens": liveTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return "", 0, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", 0, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, fmt.Errorf("request completion: %w", err)
	}
	defer res.Body.Close()
	var out struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			CompletionTokens int64 `json:"completion_tokens"`
		}
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return "", 0, fmt.Errorf("decode answer: %w", err)
	}
	if res.StatusCode != http.StatusOK || len(out.Choices) != 1 {
		return "", 0, fmt.Errorf("status %d", res.StatusCode)
	}
	return out.Choices[0].Message.Content, out.Usage.CompletionTokens, nil
}
