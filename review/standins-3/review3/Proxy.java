package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A loopback proxy that can be cut: it then passes nothing on and answers nothing, as behind a partition. */
final class Proxy {
    private final int targetPort;
    private final ServerSocket listener;
    private boolean cut;

    Proxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Daemons.start(this::acceptForever);
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void setCut(boolean cut) {
        this.cut = cut;
        notifyAll();
    }

    private synchronized void awaitOpen() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void acceptForever() {
        while (true) {
            try {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                Daemons.start(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        try {
            awaitOpen();
            Socket target = new Socket();
            target.setTcpNoDelay(true);
            target.connect(new InetSocketAddress("127.0.0.1", targetPort), 1_000);
            Daemons.start(() -> copy(client, target));
            copy(target, client);
        } catch (IOException | InterruptedException e) {
            close(client);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                awaitOpen();
                out.write(buffer, 0, read);
            }
        } catch (IOException | InterruptedException e) {
            // The channel has ended.
        } finally {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
