package review;

import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.celeryusher.platform.standin.MetadataStoreStandIn;

/**
 * A small deployment on loopback: nodes as processes with the command and the settings template of the deploy files, the project's stand-in
 * of the metadata store, and stand-ins of backend servers and clients.
 */
final class Fleet implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String HOST = "fleet.example";
    static final long HEARTBEAT_MILLISECONDS = 870;
    static final int SLOTS = 6;
    static final int QUEUE = 24;

    private static final int PORTS = 5;
    private static final long ORIGIN = System.nanoTime();

    final MetadataStoreStandIn store = new MetadataStoreStandIn("127.0.0.1");
    final List<Server> servers = new ArrayList<>();
    final List<Process> nodes = new ArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path temporary;
    private final BufferedWriter record;
    private final int[] ports;
    private final AtomicLong attempts = new AtomicLong(System.nanoTime());
    private final Map<Integer, Relay> relays = new ConcurrentHashMap<>();
    private final String zones;
    private volatile boolean isClosed;

    /** Each letter of {@code zones} is the zone of one machine, in their order; they come again when there are more machines. */
    private Fleet(Path recordFile, int size, String zones) throws IOException {
        this.zones = zones;
        record = Files.newBufferedWriter(recordFile);
        temporary = Files.createTempDirectory("celeryusher-review");
        ports = freePorts(size);
        Thread hook = new Thread(this::end);
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Plays a case and ends this process with its result. What can't be played doesn't count as a broken rule. */
    static void play(String[] arguments, int size, String zones, Case played) {
        Result result = Result.COULD_NOT_RUN;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), size, zones)) {
            result = played.play(fleet);
            fleet.say("result: %s%s", result, TROUBLE ? "" : " (without the disruption)");
        } catch (Exception | Error e) {
            e.printStackTrace();
            result = Result.COULD_NOT_RUN;
        }
        System.exit(result.exitStatus);
    }

    /** The result of a case. */
    enum Result {
        HELD(0),
        BROKEN(1),
        COULD_NOT_RUN(2);

        final int exitStatus;

        Result(int exitStatus) {
            this.exitStatus = exitStatus;
        }
    }

    /** One case, played on a fleet. */
    interface Case {
        Result play(Fleet fleet) throws Exception;
    }

    static double seconds() {
        return (System.nanoTime() - ORIGIN) / 1e9;
    }

    static void pause(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void note(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments);
        synchronized (record) {
            try {
                record.write(line);
                record.newLine();
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    void say(String format, Object... arguments) {
        note(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    String host(int index) {
        return "127.0.0." + (index + 1);
    }

    /** Adds the stand-in of a backend server on the machine {@code index}. */
    Server addServer(int index, String service, Behaviour behaviour) {
        Server server = new Server(index, service, behaviour);
        servers.add(server);
        return server;
    }

    /** Puts a relay in front of the address at which the node {@code index} takes calls of other nodes. Call it before the node starts. */
    Relay addRelay(int index) throws IOException {
        Relay relay = new Relay(host(index), relayedHost(index), ports[1]);
        relays.put(index, relay);
        return relay;
    }

    private static String relayedHost(int index) {
        return "127.0.1." + (index + 1);
    }

    /** Starts the node on the machine {@code index} as the deploy file says. */
    Process startNode(int index, String service) throws IOException {
        Map<String, String> fields =
            Map.ofEntries(
                Map.entry("node_name|json", "\"node-" + index + "\""),
                Map.entry("service|json", "\"" + service + "\""),
                Map.entry("zone|json", "\"" + zone(index) + "\""),
                Map.entry("listen_addrs.outbound", host(index) + ":" + ports[0]),
                Map.entry("listen_addrs.inbound", (relays.containsKey(index) ? relayedHost(index) : host(index)) + ":" + ports[1]),
                Map.entry("listen_addrs.ready", host(index) + ":" + ports[2]),
                Map.entry("ip", host(index)),
                Map.entry("port_range.0", "" + ports[3]),
                Map.entry("app_addr", host(index) + ":" + ports[4]),
                Map.entry("platform.address", store.getAddress().toString()));
        String settings = Files.readString(root.resolve("deploy/node.json"));
        for (Map.Entry<String, String> field : fields.entrySet()) settings = settings.replace("{{" + field.getKey() + "}}", field.getValue());
        Path file = temporary.resolve("node-" + index + ".json");
        Files.writeString(file, settings);
        String run =
            Files.readAllLines(root.resolve("deploy/system.toml")).stream().filter(it -> it.startsWith("run = ")).findFirst().orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).replace("/etc/celeryusher/node.yaml", file.toString());
        ProcessBuilder builder = new ProcessBuilder(command.split(" ")).directory(root.toFile());
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logOf(index).toFile()));
        Process process = builder.start();
        while (nodes.size() <= index) nodes.add(null);
        nodes.set(index, process);
        note("node %d started", index);
        return process;
    }

    Path logOf(int index) {
        return temporary.resolve("node-" + index + ".log");
    }

    /** Returns whether the node {@code index} says that it is ready, as the platform asks. */
    boolean isReady(int index) {
        try {
            return request(host(index), ports[2], "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0], 2000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until all nodes are ready; returns whether they are. */
    boolean awaitReady() {
        double end = seconds() + 30;
        for (int index = 0; index < nodes.size(); index++) {
            while (!isReady(index)) {
                if (seconds() > end) return false;
                pause(0.1);
            }
        }
        return true;
    }

    /** Publishes a configuration. Each route is {prefix, kind, service, timeout, priority}. */
    void publish(int version, List<String> services, List<String[]> routes) {
        StringBuilder rules = new StringBuilder();
        for (String[] route : routes) {
            rules.append(rules.isEmpty() ? "" : ",")
                .append("{\"name\":\"r-").append(route[0].replaceAll("[^a-z]", ""))
                .append("\",\"kind\":\"").append(route[1])
                .append("\",\"target_latency\":\"500ms\",\"priority\":").append(route[4])
                .append(",\"match\":{\"path_prefix\":\"").append(route[0])
                .append("\"},\"action\":{\"service\":\"").append(route[2])
                .append("\",\"timeout\":\"").append(route[3])
                .append("\",\"max_attempts\":2}}");
        }
        StringBuilder clusters = new StringBuilder();
        for (String service : services) {
            clusters.append(clusters.isEmpty() ? "" : ",")
                .append("{\"name\":\"").append(service)
                .append("\",\"health_path\":\"/healthz\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}");
        }
        String document =
            String.format(
                "{\"version\":\"%08x\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
                    + "\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":\"%s\",\"rules\":[%s]}],\"clusters\":[%s]}",
                version, HOST, rules, clusters);
        store.put("op/config", document.getBytes(StandardCharsets.UTF_8));
        note("the store has configuration %d", version);
    }

    String newAttempt() {
        return String.format("%016x", attempts.incrementAndGet());
    }

    /** Sends one request to the node {@code index} over a new connection, as a client of that machine. */
    Answer call(int index, String method, String path, int deadlineMilliseconds, byte[] body, String attempt) {
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Celeryusher-Attempt-Id: " + attempt
                + "\r\nX-Celeryusher-Deadline-Ms: " + deadlineMilliseconds
                + (method.equals("POST") || body.length > 0 ? "\r\nContent-Length: " + body.length : "") + "\r\n\r\n";
        double start = seconds();
        try {
            Answer answer = request(host(index), ports[0], head, body, deadlineMilliseconds);
            note("client %d %s %s %s -> %d after %.3f s", index, attempt, method, path, answer.status, seconds() - start);
            return answer;
        } catch (IOException e) {
            note("client %d %s %s %s -> no answer after %.3f s: %s", index, attempt, method, path, seconds() - start, e.getMessage());
            return new Answer(0, Map.of(), new byte[0], e.getMessage());
        }
    }

    private static Answer request(String host, int port, String head, byte[] body, int milliseconds) throws IOException {
        long end = System.nanoTime() + milliseconds * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(milliseconds, 1000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(Math.max(1, milliseconds));
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            output.write(body);
            output.flush();
            Message message = Message.read(new Reader(socket, end), false);
            if (message == null) throw new EOFException("the connection ended without an answer");
            return new Answer(Integer.parseInt(message.start.split(" ")[1]), message.headers, message.body, "");
        }
    }

    @Override
    public void close() {
        end();
    }

    private void end() {
        if (isClosed) return;
        isClosed = true;
        for (Process node : nodes) if (node != null) node.destroyForcibly();
        servers.forEach(Server::stop);
        store.close();
        for (Process node : nodes) {
            try {
                if (node != null) node.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs of the nodes: " + temporary);
            return;
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    String zone(int index) {
        return "zone-" + zones.charAt(index % zones.length());
    }

    private int[] freePorts(int size) throws IOException {
        int[] found = new int[PORTS];
        int count = 0;
        while (count < PORTS) {
            int port;
            try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName(host(0)))) {
                port = any.getLocalPort();
            }
            boolean isFree = Arrays.stream(found).noneMatch(it -> it == port);
            for (int index = 0; index < size && isFree; index++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host(index)))) {
                    isFree = probe.isBound();
                } catch (IOException e) {
                    isFree = false;
                }
            }
            if (isFree) found[count++] = port;
        }
        return found;
    }

    /** The answer to a client; {@code status} is 0 if there was none. */
    record Answer(int status, Map<String, String> headers, byte[] body, String detail) {}

    /** What a server does with a request that it runs. It returns whether it has answered; otherwise the connection is closed. */
    interface Behaviour {
        boolean run(Server server, Message request, OutputStream output) throws IOException;
    }

    /** Whether a server sheds a request, and whether it sends that answer a second time when the next request on the connection is in. */
    enum Shedding {
        NONE,
        ONCE,
        TWICE
    }

    /** An HTTP/1.1 message. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String attempt() {
            return headers.get("x-celeryusher-attempt-id");
        }

        static Message read(Reader input, boolean isRequest) throws IOException {
            String start = input.line();
            if (start == null) return null;
            Map<String, String> headers = new TreeMap<>();
            while (true) {
                String line = input.line();
                if (line == null) throw new EOFException("the head ends early");
                if (line.isEmpty()) break;
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            String length = headers.get("content-length");
            if (length != null) return new Message(start, headers, input.bytes(Integer.parseInt(length)));
            if (isRequest) return new Message(start, headers, new byte[0]);
            throw new IOException("an answer without a length");
        }
    }

    /** Reads lines and bytes from a socket until a time. */
    static final class Reader {
        private final Socket socket;
        private final InputStream input;
        private final long end;

        Reader(Socket socket, long end) throws IOException {
            this.socket = socket;
            this.input = new java.io.BufferedInputStream(socket.getInputStream(), 65_536);
            this.end = end;
        }

        private int next() throws IOException {
            if (end != Long.MAX_VALUE && input.available() == 0) {
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            return input.read();
        }

        String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int value = next();
                if (value < 0) {
                    if (line.size() == 0) return null;
                    throw new EOFException("the stream ends within a line");
                }
                if (value == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                line.write(value);
            }
        }

        byte[] bytes(int count) throws IOException {
            byte[] result = input.readNBytes(count);
            if (result.length < count) throw new EOFException("the body ends after " + result.length + " of " + count + " bytes");
            return result;
        }
    }

    /** The stand-in of a backend server: it registers itself in the store, runs requests in slots and sheds what it cannot queue. */
    final class Server {
        final int index;
        final String service;
        final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        final AtomicInteger requests = new AtomicInteger();
        final AtomicInteger running = new AtomicInteger();
        final AtomicInteger crashes = new AtomicInteger();
        volatile Behaviour behaviour;
        volatile Supplier<Shedding> shedding = () -> Shedding.NONE;
        volatile String id;
        private volatile ServerSocket listener;
        private volatile long born;
        private final Set<Closeable> connections = ConcurrentHashMap.newKeySet();
        private volatile Semaphore slots;
        private int boots;
        private int sequence;

        Server(int index, String service, Behaviour behaviour) {
            this.index = index;
            this.service = service;
            this.behaviour = behaviour;
            boot();
        }

        /** Starts the server anew, with a new id at the same address. */
        synchronized void boot() {
            try {
                boots += 1;
                id = "i-" + index + "-" + boots;
                born = System.currentTimeMillis();
                slots = new Semaphore(SLOTS);
                ServerSocket opened = new ServerSocket();
                opened.setReuseAddress(true);
                opened.bind(new InetSocketAddress(host(index), ports[4]), 200);
                listener = opened;
                String name = id;
                daemon(() -> accept(opened));
                daemon(() -> beat(opened, name));
                note("server %s starts", id);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Ends the server at once, as a crash does. Its entry expires after three heartbeats; it is back after {@code seconds}. */
        void crash(double seconds) {
            String name = id;
            synchronized (this) {
                if (listener == null) return;
                crashes.incrementAndGet();
                note("server %s crashes", name);
                stop();
            }
            daemon(() -> {
                pause(3 * HEARTBEAT_MILLISECONDS / 1000.0);
                if (!isClosed) store.remove("servers/" + name);
            });
            daemon(() -> {
                pause(seconds);
                if (!isClosed) boot();
            });
        }

        synchronized void stop() {
            ServerSocket open = listener;
            listener = null;
            closeQuietly(open);
            connections.forEach(Fleet::closeQuietly);
            connections.clear();
        }

        private void beat(ServerSocket boot, String name) {
            while (boot == listener && !isClosed) {
                register(name);
                pause(HEARTBEAT_MILLISECONDS / 1000.0);
            }
        }

        private synchronized void register(String name) {
            if (listener == null || !name.equals(id)) return;
            sequence += 1;
            store.put(
                "servers/" + name,
                String.format(
                    "{\"address\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
                        + "\"status\":{\"state\":\"ready\",\"sequence\":%d,\"cold_remaining\":\"0ms\"}}",
                    host(index), ports[4], born, service, zone(index), SLOTS, sequence).getBytes(StandardCharsets.UTF_8));
        }

        private void accept(ServerSocket boot) {
            while (boot == listener) {
                try {
                    Socket socket = boot.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Reader input = new Reader(socket, Long.MAX_VALUE);
                OutputStream output = socket.getOutputStream();
                boolean owesSecondAnswer = false;
                while (true) {
                    Message request = Message.read(input, true);
                    if (request == null) return;
                    if (owesSecondAnswer) {
                        note("server %s sends its last answer, which shed a request, a second time; %s is in", id, request.attempt());
                        shed(output);
                    }
                    Shedding decision = shedding.get();
                    owesSecondAnswer = decision == Shedding.TWICE;
                    if (decision != Shedding.NONE) {
                        note("server %s sheds %s", id, request.attempt());
                        shed(output);
                    } else if (!answer(request, output)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The caller closed the connection, or the server crashed.
            } finally {
                connections.remove(socket);
            }
        }

        private boolean answer(Message request, OutputStream output) throws IOException {
            String expected = request.headers.get("x-celeryusher-expected-instance");
            if (expected != null && !expected.equals(id)) {
                write(output, 421, "X-Celeryusher-Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            requests.incrementAndGet();
            Semaphore boot = slots;
            if (boot.getQueueLength() >= QUEUE) {
                shed(output);
                return true;
            }
            boot.acquireUninterruptibly();
            running.incrementAndGet();
            try {
                runs.computeIfAbsent(request.attempt(), it -> new AtomicInteger()).incrementAndGet();
                note("server %s runs %s %s", id, request.attempt(), request.start);
                return behaviour.run(this, request, output);
            } finally {
                running.decrementAndGet();
                boot.release();
            }
        }

        /** Answers that a request has not run, as "fleetbench wire" shows it. */
        private void shed(OutputStream output) throws IOException {
            write(output, 503, "X-Celeryusher-Not-Executed: 1\r\n", new byte[0]);
        }

        /** Sends a whole answer to {@code request}. */
        void reply(OutputStream output, Message request, int status, byte[] body) throws IOException {
            write(output, status, headersFor(request), body);
        }

        String headersFor(Message request) {
            return "X-Celeryusher-Attempt-Id: " + request.attempt() + "\r\nX-Celeryusher-Response-Signature: " + id + "." + request.attempt()
                + "\r\nX-Celeryusher-Server-Load: " + running.get() + "," + slots.getQueueLength() + "," + SLOTS + "\r\n";
        }

        private void write(OutputStream output, int status, String headers, byte[] body) throws IOException {
            byte[] head =
                ("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream whole = new ByteArrayOutputStream(head.length + body.length);
            whole.write(head);
            whole.write(body);
            output.write(whole.toByteArray());
            output.flush();
        }
    }

    /** Passes the connections to an address on. Those that are open can be made silent for good; later ones work. */
    static final class Relay {
        private final ServerSocket listener;
        private final String target;
        private final int port;
        private final Set<Link> links = ConcurrentHashMap.newKeySet();

        Relay(String host, String target, int port) throws IOException {
            this.target = target;
            this.port = port;
            listener = new ServerSocket(port, 200, InetAddress.getByName(host));
            daemon(this::accept);
        }

        /** Makes the open connections silent and returns their number. */
        int silence() {
            int count = 0;
            for (Link link : links) {
                link.isSilent = true;
                count += 1;
            }
            return count;
        }

        private void accept() {
            while (true) {
                try {
                    Socket near = listener.accept();
                    Socket far = new Socket(target, port);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Link link = new Link();
                    links.add(link);
                    daemon(() -> pump(link, near, far));
                    daemon(() -> pump(link, far, near));
                } catch (IOException e) {
                    if (listener.isClosed()) return;
                }
            }
        }

        private void pump(Link link, Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                    if (!link.isSilent) output.write(buffer, 0, count);
                }
            } catch (IOException e) {
                // One side closed the connection.
            }
            if (link.isSilent) return;
            links.remove(link);
            closeQuietly(from);
            closeQuietly(to);
        }

        private static final class Link {
            volatile boolean isSilent;
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            if (closeable != null) closeable.close();
        } catch (IOException e) {
            // It is closed either way.
        }
    }
}
