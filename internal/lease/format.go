package lease

import (
	"strconv"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

func formatFence(f unit.Fence) string { return strconv.FormatUint(uint64(f), 10) }
