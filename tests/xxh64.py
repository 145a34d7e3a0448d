"""XXH64 with seed 0, the hash that fg_hash_str() computes."""

P1 = 0x9E3779B185EBCA87
P2 = 0xC2B2AE3D27D4EB4F
P3 = 0x165667B19E3779F9
P4 = 0x85EBCA77C2B2AE63
P5 = 0x27D4EB2F165667C5
MASK = (1 << 64) - 1


def rotl(x, n):
    return ((x << n) | (x >> (64 - n))) & MASK


def mix(acc, lane):
    return rotl((acc + lane * P2) & MASK, 31) * P1 & MASK


def digest_stripes(data):
    """Returns (hash, offset) after all complete 32-byte stripes."""
    acc = [(P1 + P2) & MASK, P2, 0, -P1 & MASK]
    pos = 0
    while pos + 32 <= len(data):
        for i in range(4):
            lane = int.from_bytes(data[pos:pos + 8], "little")
            acc[i] = mix(acc[i], lane)
            pos += 8
    h = sum(rotl(a, n) for a, n in zip(acc, (1, 7, 12, 18))) & MASK
    for a in acc:
        h = ((h ^ mix(0, a)) * P1 + P4) & MASK
    return h, pos


def xxh64(data):
    h, pos = (P5, 0) if len(data) < 32 else digest_stripes(data)
    h = (h + len(data)) & MASK
    while pos + 8 <= len(data):
        lane = int.from_bytes(data[pos:pos + 8], "little")
        h = (rotl(h ^ mix(0, lane), 27) * P1 + P4) & MASK
        pos += 8
    if pos + 4 <= len(data):
        lane = int.from_bytes(data[pos:pos + 4], "little")
        h = (rotl(h ^ lane * P1 & MASK, 23) * P2 + P3) & MASK
        pos += 4
    for byte in data[pos:]:
        h = rotl(h ^ byte * P5 & MASK, 11) * P1 & MASK
    h = (h ^ h >> 33) * P2 & MASK
    h = (h ^ h >> 29) * P3 & MASK
    return h ^ h >> 32


def hash_str(text):
    """Returns the same value as fg_hash_str()."""
    return xxh64(text.encode()) or 1


def hash8(text):
    """Returns the low 32 bits of fg_hash_str() in hexadecimal."""
    return f"{hash_str(text) & 0xffffffff:08x}"
