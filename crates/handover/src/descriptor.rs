//! Passing one file descriptor in a datagram, by `SCM_RIGHTS` over a Unix datagram socket in a directory that both
//! processes have.

use std::fs::{self, File};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixDatagram;
use std::path::{Path, PathBuf};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recv, recvmsg, sendmsg,
};

/// What a datagram carries beside the descriptor: one without data would carry none.
const PAYLOAD: [u8; 1] = [1];

/// Where a process receives descriptors.
#[derive(Debug)]
pub struct DescriptorInbox {
    socket: UnixDatagram,
}

impl DescriptorInbox {
    /// Opens it at that path, in place of one that an ended process left.
    ///
    /// # Errors
    ///
    /// Where the file cannot be made, or its name (without the directory) is longer than a socket's may be.
    pub fn bind(path: &Path) -> io::Result<Self> {
        match fs::remove_file(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let (_directory, short) = short_path(path)?;
        let socket = UnixDatagram::bind(short)?;
        socket.set_nonblocking(true)?;
        Ok(DescriptorInbox { socket })
    }

    /// The next descriptor that `wanted` takes; nothing where none is waiting. Others are closed.
    ///
    /// # Errors
    ///
    /// Where the inbox cannot be read.
    pub fn receive<T>(&self, wanted: impl Fn(OwnedFd) -> Option<T>) -> io::Result<Option<T>> {
        loop {
            match self.receive_any() {
                Ok(descriptor) => {
                    let found = descriptor.and_then(&wanted);
                    if found.is_some() {
                        return Ok(found);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }

    /// The descriptor in the next datagram, if it has one.
    fn receive_any(&self) -> io::Result<Option<OwnedFd>> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut payload = PAYLOAD;
        let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
        recvmsg(&self.socket, &mut [IoSliceMut::new(&mut payload)], &mut control, flags)?;
        let descriptors = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
            _ => None,
        });
        Ok(descriptors.flatten().next())
    }

    /// Another descriptor of its socket, to wait for datagrams by; it does not block.
    ///
    /// # Errors
    ///
    /// Where the process has no descriptor left.
    pub fn try_clone_socket(&self) -> io::Result<UnixDatagram> {
        self.socket.try_clone()
    }

    /// Whether no datagram waits in it.
    pub fn is_empty(&self) -> bool {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        recv(&self.socket, &mut [0_u8; 1][..], flags) == Err(rustix::io::Errno::WOULDBLOCK)
    }
}

/// Passes a descriptor to the process whose inbox is at that path.
///
/// # Errors
///
/// `WouldBlock` where it is full; others where nobody has an inbox there.
pub fn pass_descriptor(descriptor: impl AsFd, inbox: &Path) -> io::Result<()> {
    let socket = UnixDatagram::unbound()?;
    let (_directory, short) = short_path(inbox)?;
    socket.connect(short)?;
    let descriptors = [descriptor.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    sendmsg(&socket, &[IoSlice::new(&PAYLOAD)], &mut control, SendFlags::DONTWAIT)?;
    Ok(())
}

/// A path to the same file through its open directory: a socket's path has 107 bytes at most. It holds while the
/// directory is open.
fn short_path(path: &Path) -> io::Result<(File, PathBuf)> {
    let (Some(directory), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let directory = File::open(directory)?;
    let short = Path::new("/proc/self/fd").join(directory.as_raw_fd().to_string()).join(name);
    Ok((directory, short))
}
