import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server on a loopback address, one thread a connection. */
final class HttpListener {
    /** A request. Names of headers are in lower case. */
    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {}

    /** An answer. A null answer closes the connection without one. */
    record Answer(int status, byte[] body) {
        static Answer json(int status, Object value) {
            return new Answer(status, Json.write(value).getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Answers a request; may block. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Listens on a port; 0 takes a free one. */
    HttpListener(int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        thread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Closes the listening socket and all connections, as the end of a process does. */
    void close() {
        closed = true;
        closeQuietly(listener);
        connections.forEach(HttpListener::closeQuietly);
    }

    private static void closeQuietly(java.io.Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                if (closed) {
                    closeQuietly(socket);
                }
                thread(() -> serve(socket));
            } catch (IOException e) {
                if (!closed) {
                    e.printStackTrace();
                }
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = read(in); request != null; request = read(in)) {
                Answer answer = handler.handle(request);
                if (answer == null || closed) {
                    return;
                }
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.write(("HTTP/1.1 " + answer.status() + " x\r\nContent-Type: application/json\r\nContent-Length: "
                                + answer.body().length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                bytes.write(answer.body());
                out.write(bytes.toByteArray());
                out.flush();
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            connections.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        int mark = words[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return new Request(words[0], mark < 0 ? words[1] : words[1].substring(0, mark), query, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
