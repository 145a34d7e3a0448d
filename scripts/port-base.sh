# Sourced by scripts that start processes on fixed loopback ports. Sets and
# exports FG_PORT_BASE, unless it is set, to the first port of a block of 2,000
# that no other run holds. The block is held by a lock on file descriptor 9,
# which the started processes inherit: it stays held while any of them runs. The
# blocks lie below the ports that the kernel gives to outgoing connections.
if [ -z "${FG_PORT_BASE:-}" ]; then
	port_locks=${TMPDIR:-/tmp}/fulmargauge-ports
	mkdir -p "$port_locks"
	# Other users' runs use the same folder.
	chmod 1777 "$port_locks" 2>/dev/null || true
	for port_block in 20000 22000 24000 26000 28000 30000 18000 16000 \
		14000 12000 10000 8000; do
		[ -e "$port_locks/$port_block" ] ||
			{ : >"$port_locks/$port_block"; } 2>/dev/null || continue
		exec 9<"$port_locks/$port_block"
		if flock -n 9; then
			FG_PORT_BASE=$port_block
			break
		fi
	done
	if [ -z "${FG_PORT_BASE:-}" ]; then
		echo "all blocks of ports are in use" >&2
		exit 1
	fi
	export FG_PORT_BASE
fi
