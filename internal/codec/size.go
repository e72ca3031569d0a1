package codec

// What an element of an encoded message takes once it is decoded, in bytes: a map becomes a struct, such as a step of a job.
const (
	mapBytes  = 512
	itemBytes = 16
)

// Major types of CBOR, in the three highest bits of an item's first byte, and the values of the other five that tell the size of its argument.
const (
	majorBytes  = 2
	majorText   = 3
	majorMap    = 5
	majorShift  = 5
	infoMask    = 0x1f
	infoOneByte = 24 // the argument is in the next byte; it is in the next 2, 4 and 8 bytes for the three values above
	infoMax     = 27
)

// DecodedBytes returns an estimate of the memory that encoded content takes once it is decoded, without the content itself. Of content that is
// malformed it counts what stands before the fault.
func DecodedBytes(content []byte) int {
	size := 0
	for len(content) > 0 {
		major, info := content[0]>>majorShift, content[0]&infoMask
		content = content[1:]
		argument := uint64(info)
		if info >= infoOneByte && info <= infoMax {
			width := 1 << (info - infoOneByte)
			if len(content) < width {
				return size
			}
			argument = 0
			for _, b := range content[:width] {
				argument = argument<<8 | uint64(b)
			}
			content = content[width:]
		}
		size += itemBytes
		switch major {
		case majorMap:
			size += mapBytes
		case majorBytes, majorText:
			if info > infoMax {
				continue // Its pieces follow as items.
			}
			if argument > uint64(len(content)) {
				return size
			}
			content = content[argument:]
		}
	}
	return size
}
