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
	liveEvery  = 40 * time.Millisecond
	liveTokens = 12
)

// liveCount is what the live service counted.
type liveCount struct {
	answers, wrong int
	tokens         int64
}

// live asks for an answer every now and then until ctx ends. The answer under
// way then is awaited, so that what was delivered is known.
func (f *fleet) live(ctx context.Context, key string) liveCount {
	var n liveCount
	for i := 0; ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("which tide suits family %d?", i)
		text, tokens, err := ask(f.Instances[i%len(f.Instances)].Address, key, prompt)
		if err == nil {
			n.answers++
			n.tokens += tokens
		}
		if err != nil || text != standin.Text(prompt, 0, liveTokens) {
			n.wrong++
		}
		time.Sleep(liveEvery)
	}
	return n
}

// ask gets one whole answer.
func ask(address, key, prompt string) (string, int64, error) {
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
		return "", 0, fmt.Errorf("ask: %w", err)
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
