import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server on a loopback address with one thread for each connection. */
final class HttpListener {
    /** A request; header names are in lower case. */
    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A response. */
    record Response(int status, byte[] body) {
        static Response json(int status, Object value) {
            return new Response(status, Json.write(value).getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Answers requests. Null means that the request is left without an answer; its connection answers nothing more. */
    interface Handler {
        Response answer(Request request) throws InterruptedException;
    }

    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;

    HttpListener(int port, Handler handler) throws IOException {
        this.handler = handler;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_024);
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Closes the listener and all connections, as the end of a process does. */
    void close() throws IOException {
        server.close();
        for (Socket each : sockets) {
            each.close();
        }
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                Response response = handler.answer(request);
                if (response == null) {
                    while (in.read() >= 0) {
                        // Left without an answer until the other side closes the connection.
                    }
                    return;
                }
                String head = "HTTP/1.1 " + response.status() + " -\r\n"
                        + "Content-Type: application/json\r\nContent-Length: " + response.body().length + "\r\n\r\n";
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(response.body());
                socket.getOutputStream().write(out.toByteArray());
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        } finally {
            sockets.remove(socket);
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
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        int mark = words[1].indexOf('?');
        String path = mark < 0 ? words[1] : words[1].substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], path, query, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.US_ASCII);
    }
}
