import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
L=r.choice([41,50,60]);P=[]
n=r.choice([2,3,4])
t=r.uniform(2,6)
for i in range(n): P.append(dict(at=round(t+i*r.choice([0,.3,1.5]),2),kind="scale_in",share=.25,service="agatemoor-pool",**({"how":"spot","x":2.0} if r.random()<.3 else {})))
for i in range(r.randint(1,3)): P.append(dict(at=round(r.uniform(t,L-14),2),kind="roll_term",share=1.0,x=1.0,gap_s=r.choice([1.0,1.3,2.0]),**({"how":r.choice(["busy","leader"])} if r.random()<.7 else {})))
if r.random()<.4: P.append(dict(at=round(r.uniform(8,20),2),kind="scale_in",share=.25,service="agatemoor-pool"))
if r.random()<.3: P.append(dict(at=round(r.uniform(2,20),2),kind="release",share=.45,x=1.0,gap_s=1.0,service="agatemoor-pool"))
if r.random()<.3: P.append(dict(at=round(r.uniform(2,20),2),kind="config_storm",for_s=4.0,gap_s=.33))
def tv(v): return '"%s"'%v if isinstance(v,str) else repr(v)
def tl(n,l): return n+" = [\n"+"".join("  { "+", ".join(f"{k} = {tv(v)}" for k,v in d.items() if v!="")+" },\n" for d in l)+"]\n"
print(f'[[day]]\nname = "fz-{seed}"\nlength_s = {float(L)}\n'+tl("plan",P)+"faults = []\n")
