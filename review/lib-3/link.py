"""A link of one daemon to the store, which can be cut."""

import asyncio


class Link:
    def __init__(self, target):
        self.target, self.is_cut, self.writers = target, False, set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        address = self.server.sockets[0].getsockname()
        self.address_text = f"{address[0]}:{address[1]}"
        return self.address_text

    async def _serve(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, other_writer)
        self.writers.add(pair)
        try:
            await asyncio.gather(self._copy(reader, other_writer),
                                 self._copy(other_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(pair)
            for item in pair:
                item.close()

    async def _copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            writer.close()

    def cut(self):
        """Resets the connections and all that are opened until heal."""
        self.is_cut = True
        for pair in list(self.writers):
            for item in pair:
                item.transport.abort()

    def heal(self):
        self.is_cut = False
