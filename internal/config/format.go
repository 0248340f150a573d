package config

import (
	"strconv"

	"github.com/catkinhead/catkinhead/internal/member"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func formatInt[N ~int64](n N) string { return strconv.FormatInt(int64(n), 10) }

// instanceOf returns the instance that sent the knowledge.
func instanceOf(e op.PeerHeard) unit.Instance { return member.InstanceOf(e.Know.From.Incarnation) }
