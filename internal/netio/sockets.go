package netio

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// listen opens a listener on an address with a port, or on a path.
func listen(addr string) (net.Listener, error) {
	if network(addr) == "unix" {
		return listenUnix(addr)
	}
	return net.Listen("tcp", addr)
}

// network is "unix" for a path and "tcp" for an address with a port.
func network(addr string) string {
	if filepath.IsAbs(addr) {
		return "unix"
	}
	return "tcp"
}

// listenUnix takes the place of whoever listened on the path before, in one step: the path is never missing. It
// stays when the listener closes: by then it may be another's.
func listenUnix(path string) (net.Listener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	_ = os.Remove(temporary) // of a process that had our id and died
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

// inherited returns the listener on a descriptor that this process was started with.
func inherited(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "inherited listener")
	if f == nil {
		return nil, os.ErrInvalid
	}
	defer f.Close() // the listener has a descriptor of its own
	return net.FileListener(f)
}

// peerAddr is the address of a peer as package net has it.
func peerAddr(sa syscall.Sockaddr) net.Addr {
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)))
	case *syscall.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)))
	}
	return &net.UnixAddr{Net: "unix"}
}
