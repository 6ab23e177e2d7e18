package tansytrack;

import java.io.IOException;
import tansytrack.adapter.Adapter;
import tansytrack.service.Service;

/** Picks the command. */
public final class Main {

    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(new Adapter(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Service.serve(System.getenv("ROUTER_CONFIG")));
        }
        System.err.println("usage: java -jar tansytrack.jar adapter|serve");
        System.exit(2);
    }
}
