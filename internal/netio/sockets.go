package netio

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// listen opens a listener on an address with a port, or on the path of a Unix socket.
func listen(addr string) (net.Listener, error) {
	if network(addr) == "unix" {
		return listenUnix(addr)
	}
	return net.Listen("tcp", addr)
}

// setReceiveBuffer sets the size of the receive buffer, in bytes, of the connections of a listener. If the system refuses, they
// have its default size.
func setReceiveBuffer(ln net.Listener, size int) {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
	}
}

// network returns "unix" for an absolute path and "tcp" for an address with a port.
func network(addr string) string {
	if filepath.IsAbs(addr) {
		return "unix"
	}
	return "tcp"
}

// listenUnix listens on a path, and atomically replaces the socket file of an earlier listener, so that the path always
// exists. It does not remove the file when the listener closes, because the file may by then belong to another listener.
func listenUnix(path string) (net.Listener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	_ = os.Remove(temporary) // left by a process with the same id that died
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := os.Rename(temporary, path); err != nil {
		_ = ln.Close() // the first error is the one to report
		return nil, err
	}
	return ln, nil
}

// inheritedListener returns a listener on a descriptor that this process inherited.
func inheritedListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "inherited listener")
	if f == nil {
		return nil, os.ErrInvalid
	}
	defer f.Close() // the listener uses a duplicate of the descriptor
	return net.FileListener(f)
}

// peerAddr converts the address of a peer to a net.Addr.
func peerAddr(sa syscall.Sockaddr) net.Addr {
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)))
	case *syscall.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)))
	}
	return &net.UnixAddr{Net: "unix"}
}
