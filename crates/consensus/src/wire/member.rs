//! The layout of a member.

use std::net::{IpAddr, Ipv6Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

use deku::prelude::*;

use crate::{DecodeError, Member};

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub(super) struct MemberLayout {
    id: u64,
    name_len: u16,
    #[deku(count = "name_len")]
    name: Vec<u8>,
    zone_len: u16,
    #[deku(count = "zone_len")]
    zone: Vec<u8>,
    is_v6: u8,
    /// Of an IPv4 address its mapped one.
    ip: [u8; 16],
    port: u16,
    flow_info: u32,
    scope_id: u32,
}

impl From<&Member> for MemberLayout {
    fn from(member: &Member) -> Self {
        let (is_v6, ip, flow_info, scope_id) = match member.address {
            SocketAddr::V4(address) => (0, address.ip().to_ipv6_mapped().octets(), 0, 0),
            SocketAddr::V6(address) => (1, address.ip().octets(), address.flowinfo(), address.scope_id()),
        };
        let (name_len, name) = encode_text(&member.name);
        let (zone_len, zone) = encode_text(&member.zone);
        let port = member.address.port();
        Self { id: member.id, name_len, name, zone_len, zone, is_v6, ip, port, flow_info, scope_id }
    }
}

/// A text and its length, cut at a character where it is too long.
fn encode_text(text: &str) -> (u16, Vec<u8>) {
    let end = text.floor_char_boundary(usize::from(u16::MAX));
    let bytes = text.as_bytes().get(..end).unwrap_or_default().to_vec();
    (u16::try_from(bytes.len()).unwrap_or(u16::MAX), bytes)
}

impl TryFrom<MemberLayout> for Member {
    type Error = DecodeError;

    fn try_from(layout: MemberLayout) -> Result<Self, DecodeError> {
        let text = |bytes| String::from_utf8(bytes).map_err(|_| DecodeError::Malformed("a member's name"));
        let ip = Ipv6Addr::from(layout.ip);
        let address = match (layout.is_v6, IpAddr::V6(ip).to_canonical()) {
            (0, IpAddr::V4(ip)) => SocketAddr::V4(SocketAddrV4::new(ip, layout.port)),
            (1, _) => SocketAddr::V6(SocketAddrV6::new(ip, layout.port, layout.flow_info, layout.scope_id)),
            _ => return Err(DecodeError::Malformed("a member's address")),
        };
        Ok(Self { id: layout.id, name: text(layout.name)?, zone: text(layout.zone)?, address })
    }
}
