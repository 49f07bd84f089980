@0xdfb8711bbcade332;
# Messages about the table that maps blocks of client addresses to sites: updates, replacements for lost sites, and
# the list of sites.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadadrum::schema");

enum AddressFamily {
  ipv4 @0;
  ipv6 @1;
}

# Changed blocks of one address family and prefix length, ordered by address. The layout in columns keeps a change at
# about 9 bytes unpacked: 8 bytes of address, and 1 byte for the site or the removal.
struct BlockColumn {
  family @0 :AddressFamily;
  length @1 :UInt8;
  addresses @2 :List(UInt64);  # Left-aligned: the first bit is the top bit, and IPv4 uses the upper 32 bits.
  sites @3 :Data;  # One byte per address; 255 removes the block.
}

# All changes from version `base` to `version`. A large update is sent in parts; in all parts but the last, `version`
# equals `base`.
struct BlockUpdate {
  base @0 :UInt64;
  version @1 :UInt64;
  columns @2 :List(BlockColumn);
}

# A site that takes over blocks of a lost site.
struct Neighbour {
  site @0 :UInt8;
  capacity @1 :UInt32;  # Number of blocks that the site can take over.
}

# The site is lost, and these neighbours take over its blocks. An empty list means that the site serves its blocks
# again.
struct SiteSpread {
  site @0 :UInt8;
  sequence @1 :UInt64;  # Grows with each change of this site's state.
  neighbours @2 :List(Neighbour);
}

# Name and region of the site with this number.
struct Site {
  id @0 :UInt8;
  name @1 :Text;
  region @2 :Text;
}

struct SiteList {
  version @0 :UInt64;
  sites @1 :List(Site);
}
