package link

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnacknowledged is how long the system may keep sending bytes of a call under
// a lease that the receiver's system does not acknowledge.
const maxUnacknowledged = time.Second

// limitDelivery makes a connection drop what the receiver's system has not
// acknowledged when it is closed, also by the end of the process, or after
// maxUnacknowledged. Otherwise the system would go on sending for minutes, and
// the receiver would get the call long after its sender has given it up. Where
// the system does not support this, the connection stays as it is.
func limitDelivery(conn net.Conn) {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = c.SetLinger(0)
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) })
}

func setUserTimeout(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
}
