package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one kept-open channel, which sends one request at a time and reads the complete answer. */
final class Client implements AutoCloseable {
    /** How a request ended; status 0 if the channel ended without a complete answer, -1 if nothing came in time. */
    record Answer(int status, String body, long sentMillis, long endedMillis) {
        boolean complete() {
            return status > 0;
        }
    }

    private final Record record;
    private final String name;
    private final Socket socket = new Socket();

    Client(String name, int port, Record record) throws IOException {
        this.name = name;
        this.record = record;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    }

    Answer request(String method, String hostName, String path, String body, long deadlineMillis) {
        long sentMillis = record.millis();
        try {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + hostName
                    + "\r\nX-Banyanspoke-Deadline-Ms: " + deadlineMillis
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(bytes);
            socket.setSoTimeout((int) deadlineMillis);
            record.add(name + ": sends " + method + " " + path);
            socket.getOutputStream().write(request.toByteArray());
            return answer(sentMillis, method + " " + path);
        } catch (java.net.SocketTimeoutException e) {
            record.add(name + ": no answer to " + method + " " + path + " in time");
            return new Answer(-1, "", sentMillis, record.millis());
        } catch (IOException e) {
            record.add(name + ": the channel ended without a complete answer to " + method + " " + path + ": "
                    + e.getMessage());
            return new Answer(0, "", sentMillis, record.millis());
        }
    }

    private Answer answer(long sentMillis, String what) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) read(in));
        }
        int status = Integer.parseInt(head.substring(9, 12));
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < length; i++) {
            body.append((char) read(in));
        }
        record.add(name + ": got " + status + " " + body + " for " + what);
        return new Answer(status, body.toString(), sentMillis, record.millis());
    }

    private static int read(InputStream in) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new IOException("end of the channel");
        }
        return next;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
