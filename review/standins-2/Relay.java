import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Relay on a loopback port. Its open channels can go silent for good, without a reset; new ones work. */
final class Relay {
    private final ServerSocket server = new ServerSocket(0, 1_024, InetAddress.getByName("127.0.0.1"));
    private final int target;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

    private static final class Channel {
        private volatile boolean silent;
    }

    Relay(int target) throws IOException {
        this.target = target;
        HttpListener.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Makes all open channels silent in both directions. Returns their number. */
    int silenceOpenChannels() {
        int count = channels.size();
        channels.forEach(each -> each.silent = true);
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = server.accept();
                Socket called = new Socket();
                called.connect(new InetSocketAddress("127.0.0.1", target));
                caller.setTcpNoDelay(true);
                called.setTcpNoDelay(true);
                Channel channel = new Channel();
                channels.add(channel);
                HttpListener.daemon(() -> copy(caller, called, channel));
                HttpListener.daemon(() -> copy(called, caller, channel));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** A silent channel takes what is sent and passes nothing on, neither bytes nor the end. */
    private void copy(Socket from, Socket to, Channel channel) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (!channel.silent) {
                    to.getOutputStream().write(buffer, 0, length);
                }
            }
            if (!channel.silent) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            if (!channel.silent) {
                close(from);
                close(to);
            }
        } finally {
            channels.remove(channel);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }
}
